package simprotocol

import (
	"bytes"
	"fmt"
	"strconv"

	"pepperlead/internal/platformsettings"
	"pepperlead/policy"
)

func (a *Adapter) split(rest []byte) {
	a.fields = a.fields[:0]
	for len(rest) > 0 {
		var part []byte
		part, rest, _ = bytes.Cut(rest, []byte{' '})
		if name, value, ok := bytes.Cut(part, []byte{'='}); ok {
			a.fields = append(a.fields, field{name, value})
		}
	}
}

func (a *Adapter) get(name string) ([]byte, bool) {
	for _, f := range a.fields {
		if string(f.name) == name {
			return f.value, true
		}
	}
	return nil, false
}

func (a *Adapter) need(name string) ([]byte, error) {
	v, ok := a.get(name)
	if !ok || len(v) == 0 {
		return nil, fmt.Errorf("%s is missing", name)
	}
	return v, nil
}

func (a *Adapter) id() (ticketID, error) {
	v, err := a.need("tid")
	if err == nil && len(v) != len(ticketID{}) {
		err = fmt.Errorf("tid %q is not %d characters", v, len(ticketID{}))
	}
	if err != nil {
		return ticketID{}, err
	}
	return ticketID(v), nil
}

func (a *Adapter) number(name string) (uint64, error) {
	v, err := a.need(name)
	if err != nil {
		return 0, err
	}
	n, err := strconv.ParseUint(string(v), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s=%s is not a whole number", name, v)
	}
	return n, nil
}

func (a *Adapter) flag(name string) (bool, error) {
	v, err := a.need(name)
	if err != nil {
		return false, err
	}
	return platformsettings.ParseBool(name, string(v))
}

func (a *Adapter) time(name string) (policy.Time, error) {
	v, err := a.need(name)
	if err != nil {
		return 0, err
	}
	return platformsettings.ParseDuration(name, string(v))
}

// ---- events ----
