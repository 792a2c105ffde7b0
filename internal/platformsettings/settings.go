// Package platformsettings reads the settings that the platform gives an instance at its start. A daemon finds them in
// its JSON configuration, and the simulator's adapter gets them in a message. Both flatten them to values under paths
// such as limits.cancel, so that this package reads them for both. It maps the platform's key names to the standard
// terms.
package platformsettings

import (
	"strconv"
	"strings"

	"pepperlead/policy"
)

const (
	// weightsRough is the index of "rough" among the kinds of weights in Read. Weights of this kind and of the kinds
	// before it don't change once they are announced.
	weightsRough = 1
	// listOnRequest is the index of "on_request" among the modes in Read. In this mode the endpoint list is polled.
	listOnRequest = 1
)

// Read returns the settings that the values describe, and all their faults as one error.
func Read(values *Values) (*policy.Settings, error) {
	settings := &policy.Settings{
		Instances:        max(1, values.Count("balancers")),
		Zone:             policy.Zone(values.String("zone")),
		Zones:            1 + strings.Count(values.String("zones"), ","),
		FixedWeights:     values.OneOf("weight_kind", "nominal", "rough", "silent", "live") <= weightsRough,
		PollList:         values.OneOf("membership_mode", "pushed", "on_request") == listOnRequest,
		MayCancel:        values.Bool("limits.cancel"),
		MaxAttempts:      max(1, values.Count("limits.max_pushes")),
		CrossZonePrice:   values.Float("prices.cross_zone"),
		Tick:             values.Duration("tick_s"),
		ColdCapacity:     values.Float("rules.cold_from"),
		ColdTime:         values.Duration("rules.cold_s"),
		OverloadMultiple: values.Float("rules.fall_multiple"),
	}
	if values.Has("rules.fall_s") {
		settings.OverloadWindow = values.Duration("rules.fall_s")
	}
	settings.StreamsPerConnection = readStreams(values)
	if settings.PollList {
		settings.PollWithin = values.Duration("rules.must_ask_in_s")
	}
	if values.Bool("limits.retry_after") {
		settings.MaxRetryAfter = values.Duration("limits.max_retry_after_s")
	}
	readClasses(values, settings)
	readTenants(values, settings)
	return settings, values.Err
}

// readStreams returns how many requests a connection may carry at once, one by default.
func readStreams(values *Values) int {
	const path = "limits.streams_per_conn"
	if !values.Has(path) {
		return 1
	}
	streams := values.Count(path)
	if streams == 0 {
		values.fail(path, values.Text[path], "a whole number from 1 to 65535")
	}
	return streams
}

// elementPath returns the prefix of the paths of the fields of a list's element.
func elementPath(list string, index int) string { return list + "." + strconv.Itoa(index) + "." }

func readClasses(values *Values, settings *policy.Settings) {
	for i := range values.Count("offerings.count") {
		path := elementPath("offerings", i)
		class := policy.Class{
			Name:        values.String(path + "name"),
			Value:       values.Float(path + "credit"),
			LateValue:   values.Float(path + "overdue_credit"),
			Target:      values.Duration(path + "quoted_time_s"),
			Deadline:    values.Duration(path + "cut_off_s"),
			Idempotency: readIdempotency(values, path+"idempotency"),
		}
		if class.Idempotency == policy.Keyed {
			class.Group = policy.Group(values.OneOf(path+"group", "all", "zone", "cell"))
			class.Window = values.Duration(path + "window_s")
		}
		settings.Classes = append(settings.Classes, class)
	}
}

// readIdempotency reads how requests of a class may be repeated. The choices are in the order of policy's constants.
func readIdempotency(values *Values, path string) policy.Idempotency {
	return policy.Idempotency(values.OneOf(path, "retryable", "dedup", "fragile"))
}

// readTenants reads the tenants, if there are any.
func readTenants(values *Values, settings *policy.Settings) {
	const countPath = "realms.count"
	if strings.Trim(values.Text[countPath], "0") == "" {
		return
	}
	settings.OverQuotaValue = values.Float("beyond_share_credit")
	for i := range values.Count(countPath) {
		path := elementPath("realms", i)
		tenant := policy.Tenant{Name: values.String(path + "name"), Quota: values.Float(path + "quota_per_s")}
		settings.TotalQuota += tenant.Quota
		settings.Tenants = append(settings.Tenants, tenant)
	}
}
