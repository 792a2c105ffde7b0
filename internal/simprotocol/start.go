package simprotocol

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"pepperlead/internal/platformsettings"
	"pepperlead/policy"
)

func (a *Adapter) start(rest []byte) error {
	name, err := a.need("sidecar_id")
	if err != nil {
		return err
	}
	seed, err := a.number("rng_seed")
	if err != nil {
		return err
	}
	if !bytes.Contains(rest, []byte("offerings.count=")) {
		return fmt.Errorf("offerings.count is missing")
	}
	p := &platformsettings.Values{Text: make(map[string]string, len(a.fields))}
	for _, f := range a.fields {
		p.Text[string(f.name)] = string(f.value)
	}
	c, err := platformsettings.Read(p)
	if err != nil {
		return errors.New(strings.ReplaceAll(err.Error(), "\n", "; ")) // an answer on the wire is a line
	}
	i := &instance{name: bytes.Clone(name), out: &a.out, handles: map[ticketID]policy.Handle{},
		names: map[string]int32{}, houses: map[string]int32{}, campaign: c}
	for n, o := range c.Classes {
		i.names[o.Name] = int32(n)
	}
	for n, f := range c.Tenants {
		i.houses[f.Name] = int32(n)
	}
	a.instances[string(i.name)] = i
	i.balancer = policy.New(i, c, seed, a.now)
	return nil
}
