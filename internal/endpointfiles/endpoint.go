package endpointfiles

import (
	"net/netip"
	"strings"

	"github.com/cespare/xxhash/v2"

	"pepperlead/internal/tomlfile"
	"pepperlead/policy"
)

// Bounds on the values of an endpoint's keys.
const (
	maxCell   = 1<<31 - 1
	minWeight = 1e-6
	maxWeight = 1e9
)

// Entry is an endpoint in a list, with its uid and address.
type Entry struct {
	policy.Member
	UID, Addr string
}

// weightLimit is an exclusive upper bound on the weights in lists that programs write. It detects damaged lists.
const weightLimit = 1e12

// IsWeight reports whether a program may have written the weight to a list.
func IsWeight(weight float64) bool { return weight >= 0 && weight < weightLimit }

// IsValid reports whether a stored entry has a uid, an address, and a valid weight and status.
func (e *Entry) IsValid() bool {
	return e.UID != "" && e.Addr != "" && IsWeight(e.Weight) && e.Status <= policy.Draining
}

// EndpointID returns the id that the decision module uses for the endpoint with the given uid.
func EndpointID(uid string) policy.EndpointID { return policy.EndpointID(xxhash.Sum64String(uid)) }

// ReadEndpoint reads an endpoint from its table.
func ReadEndpoint(table *tomlfile.Table) Entry {
	table.Require("id", "address")
	entry := Entry{UID: table.String("id", ""), Addr: table.String("address", "")}
	entry.Member = policy.Member{
		ID:      EndpointID(entry.UID),
		Zone:    policy.Zone(table.String("zone", "")),
		Cell:    policy.Cell(table.Count("pod", 0, 0, maxCell)),
		Weight:  table.Float("weight", 1, minWeight, maxWeight),
		Status:  policy.EndpointStatus(table.OneOf("state", int(policy.Ready), "ready", "draining")),
		Started: table.Timestamp("started"),
	}
	if entry.Addr != "" && !ValidAddress(entry.Addr) {
		table.Fault("address", table.Found("address"), "an IP address and port, such as 10.0.0.4:9000 or [::1]:9000")
	}
	if strings.ContainsFunc(entry.UID, isSpaceOrControl) {
		table.Fault("id", table.Found("id"), "a text without spaces")
	}
	table.RejectUnknown()
	return entry
}

// isSpaceOrControl reports whether a character is an ASCII space or control character.
func isSpaceOrControl(r rune) bool {
	const del = 0x7f
	return r <= ' ' || r == del
}

// ValidAddress reports whether a text is an IP address with a port. Host names are not allowed, because resolving them
// takes time and the result may change, so that one list could mean different endpoints at different times.
func ValidAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() > 0
}
