package simprotocol

import (
	"bytes"
	"errors"
	"strings"

	"pepperlead/internal/platformsettings"
	"pepperlead/policy"
)

// requestID is the ID of a request, in the protocol's text form.
type requestID [36]byte

// instance is one instance of the decision module, with the maps that translate between the protocol's names and IDs
// and the module's numbers. It implements policy.Front.
type instance struct {
	name     []byte
	reply    *bytes.Buffer
	balancer *policy.Balancer
	classes  map[string]policy.ClassID
	tenants  map[string]policy.TenantID
	handles  map[requestID]policy.Handle
	ids      []requestID // IDs of the requests, by the index of their handles
}

var _ policy.Front = (*instance)(nil)

// newInstance starts an instance; text is the line after its keyword.
func (a *adapter) newInstance(text []byte) error {
	name, err := a.text("sidecar_id")
	if err != nil {
		return err
	}
	seed, err := a.number("rng_seed")
	if err != nil {
		return err
	}
	if !bytes.Contains(text, []byte("offerings.count=")) {
		return errors.New("offerings.count is missing")
	}
	settings, err := a.settings()
	if err != nil {
		return err
	}
	i := &instance{
		name:    bytes.Clone(name),
		reply:   &a.reply,
		classes: map[string]policy.ClassID{},
		tenants: map[string]policy.TenantID{},
		handles: map[requestID]policy.Handle{},
	}
	for number, class := range settings.Classes {
		i.classes[class.Name] = policy.ClassID(number)
	}
	for number, tenant := range settings.Tenants {
		i.tenants[tenant.Name] = policy.TenantID(number)
	}
	a.instances[string(i.name)] = i
	i.balancer = policy.New(i, settings, seed, a.now)
	return nil
}

// settings parses the module's settings from the fields of the line.
func (a *adapter) settings() (*policy.Settings, error) {
	values := &platformsettings.Values{Text: make(map[string]string, len(a.fields))}
	for _, f := range a.fields {
		values.Text[string(f.name)] = string(f.value)
	}
	settings, err := platformsettings.Read(values)
	if err != nil {
		return nil, errors.New(strings.ReplaceAll(err.Error(), "\n", "; ")) // errors are reported on one line
	}
	return settings, nil
}

// setHandle records the handle of a request. If another request had a handle with the same index before, that request
// has ended, and its handle is removed.
func (i *instance) setHandle(id requestID, h policy.Handle) {
	for len(i.ids) <= h.Index() {
		i.ids = append(i.ids, requestID{})
	}
	delete(i.handles, i.ids[h.Index()])
	i.ids[h.Index()] = id
	i.handles[id] = h
}
