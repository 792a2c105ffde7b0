package livetest

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"pepperlead/policy"
)

// minColdShare is the smallest value of cold.share that the configuration allows.
const minColdShare = 0.001

// idempotencyNames and groupNames are the values that the configuration uses.
var (
	idempotencyNames = [...]string{
		policy.Idempotent:    "reissuable",
		policy.Keyed:         "numbered",
		policy.NonIdempotent: "at-most-once",
	}
	groupNames = [...]string{
		policy.GroupAll:  "all",
		policy.GroupZone: "zone",
		policy.GroupCell: "pod",
	}
)

// tomlBuilder builds a TOML text.
type tomlBuilder struct{ text strings.Builder }

func (b *tomlBuilder) table(name string) { b.line("[%s]", name) }

func (b *tomlBuilder) arrayTable(name string) { b.line("[[%s]]", name) }

func (b *tomlBuilder) line(format string, arguments ...any) {
	fmt.Fprintf(&b.text, format+"\n", arguments...)
}

// set writes a key with its value: a string, zones, a duration, a number or a Boolean.
func (b *tomlBuilder) set(key string, value any) {
	switch value := value.(type) {
	case string:
		b.line("%s = %q", key, value)
	case policy.Zone:
		b.line("%s = %q", key, string(value))
	case []policy.Zone:
		literals := make([]string, len(value))
		for i, zone := range value {
			literals[i] = strconv.Quote(string(zone))
		}
		b.line("%s = [%s]", key, strings.Join(literals, ", "))
	case policy.Time:
		b.line("%s = %q", key, time.Duration(value).String())
	default:
		b.line("%s = %v", key, value)
	}
}

// configuration returns the configuration file of an instance.
func (r *liveRun) configuration(instance *daemonProcess) []byte {
	var b tomlBuilder
	r.writeInstanceTables(&b, instance)
	r.writeLimits(&b)
	r.writeClasses(&b)
	r.writeTenants(&b)
	b.table("source")
	b.set("kind", "files")
	b.line(`files = ["servers.toml"]`)
	b.line("may_take_away = 1.0")
	b.table("state")
	b.set("folder", "state")
	return []byte(b.text.String())
}

func (r *liveRun) writeInstanceTables(b *tomlBuilder, instance *daemonProcess) {
	b.table("instance")
	b.set("name", fmt.Sprint("n", instance.id))
	b.set("zone", instance.zone)
	b.set("zones", r.Scenario.Zones)
	b.set("instances", r.Scenario.Instances)
	b.set("cross_price", r.settings.CrossZonePrice)
	b.set("seed", strconv.FormatUint(r.Seed*1000+uint64(instance.id)+1, 16))
	b.table("front.http")
	b.set("listen", instance.address)
	b.set("request_id", "demanded")
}

func (r *liveRun) writeLimits(b *tomlBuilder) {
	settings := &r.settings
	b.table("limits")
	b.set("descriptors", 4096)
	b.set("memory_mb", 192)
	b.set("pushes", settings.MaxAttempts)
	b.set("cancel", settings.MayCancel)
	b.set("advice", settings.MaxRetryAfter)
	b.set("connect", r.Scenario.Network.ConnectTimeout)
	b.set("idle", r.Scenario.Network.IdleTimeout)
	b.set("tick", settings.Tick)
	b.table("cold")
	b.set("share", max(minColdShare, settings.ColdCapacity))
	b.set("time", settings.ColdTime)
	b.set("fall", max(1, settings.OverloadMultiple))
}

func (r *liveRun) writeClasses(b *tomlBuilder) {
	for i := range r.Scenario.Classes {
		class := &r.Scenario.Classes[i]
		b.arrayTable("offering")
		b.set("name", class.Name)
		b.set("credit", class.Value)
		b.set("late_credit", class.LateValue)
		b.set("quoted_time", class.Target)
		b.set("cut_off", class.Deadline)
		b.set("repeats", idempotencyNames[class.Idempotency])
		if class.Idempotency == policy.Keyed {
			b.set("group", groupNames[class.Group])
			b.set("window", class.Window)
		}
	}
}

func (r *liveRun) writeTenants(b *tomlBuilder) {
	b.table("franchises")
	b.set("beyond_credit", r.settings.OverQuotaValue)
	for _, tenant := range r.settings.Tenants {
		b.arrayTable("franchise")
		b.set("name", tenant.Name)
		b.set("quota", tenant.Quota)
	}
}
