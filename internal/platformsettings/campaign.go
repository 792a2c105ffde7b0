// Package campaign reads what an instance is told at its start, for every front alike: values under the paths
// that they have as nested objects, as in offerings.0.name.
package platformsettings

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"pepperlead/policy"
)

// Values gives what stands under each path, and keeps all that was wrong, a line each.
type Values struct {
	Of     map[string]string
	Err    error
	failed map[string]bool // paths of which that is known
}

func (p *Values) fail(name, found, allowed string) {
	if p.failed[name] {
		return
	}
	if p.failed == nil {
		p.failed = map[string]bool{}
	}
	p.failed[name] = true
	p.Err = errors.Join(p.Err, fmt.Errorf("%s: found %s, allowed %s", name, found, allowed))
}

func (p *Values) Text(name string) string {
	v, ok := p.Of[name]
	if !ok {
		p.fail(name, "nothing", "a value: it must be given")
	}
	return v
}

func (p *Values) Real(name string) float64 {
	v := p.Text(name)
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) || f < 0 {
		p.fail(name, v, "a number from 0 up")
	}
	return f
}

func (p *Values) Count(name string) int {
	v := p.Text(name)
	n, err := strconv.ParseUint(v, 10, 16)
	if err != nil {
		p.fail(name, v, "a whole number from 0 to 65535")
	}
	return int(n)
}

func (p *Values) Span(name string) policy.Time {
	v := p.Text(name)
	t, err := Span(name, v)
	if err != nil {
		p.fail(name, v, "seconds from 0 up")
	}
	return t
}

func (p *Values) Yes(name string) bool {
	v := p.Text(name)
	b, err := Boolean(name, v)
	if err != nil {
		p.fail(name, v, "true or false")
	}
	return b
}

// OneOf gives the place of the value among the words.
func (p *Values) OneOf(name string, words ...string) int {
	v := p.Text(name)
	for i, w := range words {
		if w == v {
			return i
		}
	}
	p.fail(name, v, strings.Join(words, ", "))
	return 0
}

// Read decodes the values that decisions are made by.
func Read(p *Values) (*policy.Settings, error) {
	c := &policy.Settings{
		Instances:        max(1, p.Count("balancers")),
		Zone:             policy.Zone(p.Text("zone")),
		Zones:            1 + strings.Count(p.Text("zones"), ","),
		FixedWeights:     p.OneOf("weight_kind", "nominal", "rough", "silent", "live") < 2,
		PollList:         p.OneOf("membership_mode", "pushed", "on_request") == 1,
		MayCancel:        p.Yes("limits.cancel"),
		MaxAttempts:      max(1, p.Count("limits.max_pushes")),
		CrossZonePrice:   p.Real("prices.cross_zone"),
		Tick:             p.Span("tick_s"),
		ColdCapacity:     p.Real("rules.cold_from"),
		ColdTime:         p.Span("rules.cold_s"),
		OverloadMultiple: p.Real("rules.fall_multiple"),
	}
	if _, told := p.Of["rules.fall_s"]; told {
		c.OverloadWindow = p.Span("rules.fall_s")
	}
	c.StreamsPerConnection = 1
	if v, ok := p.Of["limits.streams_per_conn"]; ok {
		if c.StreamsPerConnection = p.Count("limits.streams_per_conn"); c.StreamsPerConnection == 0 {
			p.fail("limits.streams_per_conn", v, "a whole number from 1 to 65535")
		}
	}
	if c.PollList {
		c.PollWithin = p.Span("rules.must_ask_in_s")
	}
	if p.Yes("limits.retry_after") {
		c.MaxRetryAfter = p.Span("limits.max_retry_after_s")
	}
	for n := range p.Count("offerings.count") {
		at := "offerings." + strconv.Itoa(n) + "."
		o := policy.Class{
			Name:        p.Text(at + "name"),
			Value:       p.Real(at + "credit"),
			LateValue:   p.Real(at + "overdue_credit"),
			Target:      p.Span(at + "quoted_time_s"),
			Deadline:    p.Span(at + "cut_off_s"),
			Idempotency: policy.Idempotency(p.OneOf(at+"idempotency", "retryable", "dedup", "fragile")),
		}
		if o.Idempotency == policy.Keyed {
			o.Group = policy.Group(p.OneOf(at+"group", "all", "zone", "cell"))
			o.Window = p.Span(at + "window_s")
		}
		c.Classes = append(c.Classes, o)
	}
	if v, ok := p.Of["realms.count"]; ok && strings.Trim(v, "0") != "" {
		c.OverQuotaValue = p.Real("beyond_share_credit")
		for n := range p.Count("realms.count") {
			at := "realms." + strconv.Itoa(n) + "."
			f := policy.Tenant{Name: p.Text(at + "name"), Quota: p.Real(at + "quota_per_s")}
			c.TotalQuota += f.Quota
			c.Tenants = append(c.Tenants, f)
		}
	}
	return c, p.Err
}

// Span reads seconds as whole nanoseconds.
func Span(name, v string) (policy.Time, error) {
	s, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(s) || s < 0 || s > 9e9 {
		return 0, fmt.Errorf("%s=%s is not a time", name, v)
	}
	return policy.Time(math.Round(s * 1e9)), nil
}

// Boolean reads a yes or no.
func Boolean(name, v string) (bool, error) {
	switch v {
	case "1", "true":
		return true, nil
	case "0", "false":
		return false, nil
	}
	return false, fmt.Errorf("%s=%s is neither 1 nor 0", name, v)
}
