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
	Text   map[string]string
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

func (p *Values) String(name string) string {
	v, ok := p.Text[name]
	if !ok {
		p.fail(name, "nothing", "a value: it must be given")
	}
	return v
}

func (p *Values) Float(name string) float64 {
	v := p.String(name)
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) || f < 0 {
		p.fail(name, v, "a number from 0 up")
	}
	return f
}

func (p *Values) Count(name string) int {
	v := p.String(name)
	n, err := strconv.ParseUint(v, 10, 16)
	if err != nil {
		p.fail(name, v, "a whole number from 0 to 65535")
	}
	return int(n)
}

func (p *Values) Duration(name string) policy.Time {
	v := p.String(name)
	t, err := ParseDuration(name, v)
	if err != nil {
		p.fail(name, v, "seconds from 0 up")
	}
	return t
}

func (p *Values) Bool(name string) bool {
	v := p.String(name)
	b, err := ParseBool(name, v)
	if err != nil {
		p.fail(name, v, "true or false")
	}
	return b
}

// OneOf gives the place of the value among the words.
func (p *Values) OneOf(name string, words ...string) int {
	v := p.String(name)
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
		Zone:             policy.Zone(p.String("zone")),
		Zones:            1 + strings.Count(p.String("zones"), ","),
		FixedWeights:     p.OneOf("weight_kind", "nominal", "rough", "silent", "live") < 2,
		PollList:         p.OneOf("membership_mode", "pushed", "on_request") == 1,
		MayCancel:        p.Bool("limits.cancel"),
		MaxAttempts:      max(1, p.Count("limits.max_pushes")),
		CrossZonePrice:   p.Float("prices.cross_zone"),
		Tick:             p.Duration("tick_s"),
		ColdCapacity:     p.Float("rules.cold_from"),
		ColdTime:         p.Duration("rules.cold_s"),
		OverloadMultiple: p.Float("rules.fall_multiple"),
	}
	if _, told := p.Text["rules.fall_s"]; told {
		c.OverloadWindow = p.Duration("rules.fall_s")
	}
	c.StreamsPerConnection = 1
	if v, ok := p.Text["limits.streams_per_conn"]; ok {
		if c.StreamsPerConnection = p.Count("limits.streams_per_conn"); c.StreamsPerConnection == 0 {
			p.fail("limits.streams_per_conn", v, "a whole number from 1 to 65535")
		}
	}
	if c.PollList {
		c.PollWithin = p.Duration("rules.must_ask_in_s")
	}
	if p.Bool("limits.retry_after") {
		c.MaxRetryAfter = p.Duration("limits.max_retry_after_s")
	}
	for n := range p.Count("offerings.count") {
		at := "offerings." + strconv.Itoa(n) + "."
		o := policy.Class{
			Name:        p.String(at + "name"),
			Value:       p.Float(at + "credit"),
			LateValue:   p.Float(at + "overdue_credit"),
			Target:      p.Duration(at + "quoted_time_s"),
			Deadline:    p.Duration(at + "cut_off_s"),
			Idempotency: policy.Idempotency(p.OneOf(at+"idempotency", "retryable", "dedup", "fragile")),
		}
		if o.Idempotency == policy.Keyed {
			o.Group = policy.Group(p.OneOf(at+"group", "all", "zone", "cell"))
			o.Window = p.Duration(at + "window_s")
		}
		c.Classes = append(c.Classes, o)
	}
	if v, ok := p.Text["realms.count"]; ok && strings.Trim(v, "0") != "" {
		c.OverQuotaValue = p.Float("beyond_share_credit")
		for n := range p.Count("realms.count") {
			at := "realms." + strconv.Itoa(n) + "."
			f := policy.Tenant{Name: p.String(at + "name"), Quota: p.Float(at + "quota_per_s")}
			c.TotalQuota += f.Quota
			c.Tenants = append(c.Tenants, f)
		}
	}
	return c, p.Err
}

// ParseDuration reads seconds as whole nanoseconds.
func ParseDuration(name, v string) (policy.Time, error) {
	s, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(s) || s < 0 || s > 9e9 {
		return 0, fmt.Errorf("%s=%s is not a time", name, v)
	}
	return policy.Time(math.Round(s * 1e9)), nil
}

// ParseBool reads a yes or no.
func ParseBool(name, v string) (bool, error) {
	switch v {
	case "1", "true":
		return true, nil
	case "0", "false":
		return false, nil
	}
	return false, fmt.Errorf("%s=%s is neither 1 nor 0", name, v)
}
