package platformsettings

import (
	"maps"
	"strings"
	"testing"

	"pepperlead/policy"
)

// validValues are settings with one class and one tenant.
func validValues() map[string]string {
	return map[string]string{
		"balancers": "3", "zone": "a", "zones": "a,b", "weight_kind": "rough", "membership_mode": "pushed",
		"limits.cancel": "1", "limits.max_pushes": "0", "limits.retry_after": "false", "prices.cross_zone": "0.1",
		"tick_s": "0.005", "rules.cold_from": "0.2", "rules.cold_s": "20", "rules.fall_multiple": "3",
		"offerings.count": "1", "offerings.0.name": "x", "offerings.0.credit": "1", "offerings.0.overdue_credit": "0.1",
		"offerings.0.quoted_time_s": "1", "offerings.0.cut_off_s": "2", "offerings.0.idempotency": "dedup",
		"offerings.0.group": "cell", "offerings.0.window_s": "1.5",
		"realms.count": "1", "realms.0.name": "t", "realms.0.quota_per_s": "5", "beyond_share_credit": "0.25",
	}
}

func TestSettingsAreParsed(t *testing.T) {
	settings, err := Read(&Values{Text: validValues()})
	if err != nil {
		t.Fatal(err)
	}
	if settings.Instances != 3 || settings.Zones != 2 || !settings.FixedWeights || settings.PollList ||
		!settings.MayCancel || settings.MaxAttempts != 1 || settings.StreamsPerConnection != 1 ||
		settings.MaxRetryAfter != 0 || settings.Tick != 5*policy.Millisecond {
		t.Errorf("unexpected settings %+v", settings)
	}
	class := settings.Classes[0]
	if class.Idempotency != policy.Keyed || class.Group != policy.GroupCell || class.Window != 1500*policy.Millisecond ||
		class.Deadline != 2*policy.Second {
		t.Errorf("unexpected class %+v", class)
	}
	if tenant := settings.Tenants[0]; tenant.Quota != 5 || settings.TotalQuota != 5 || settings.OverQuotaValue != 0.25 {
		t.Errorf("unexpected tenant %+v, total quota or over-quota value", tenant)
	}
}

// The error has a line for each fault, in the order in which the values are read.
func TestAllFaultsAreReported(t *testing.T) {
	values := validValues()
	maps.Copy(values, map[string]string{
		"weight_kind": "heavy", "limits.cancel": "maybe", "tick_s": "nan", "limits.streams_per_conn": "0",
		"offerings.0.credit": "-1",
	})
	delete(values, "zone")
	_, err := Read(&Values{Text: values})
	want := strings.Join([]string{
		"zone: found nothing, allowed a value: it must be given",
		"weight_kind: found heavy, allowed nominal, rough, silent, live",
		"limits.cancel: found maybe, allowed true or false",
		"tick_s: found nan, allowed seconds from 0 up",
		"limits.streams_per_conn: found 0, allowed a whole number from 1 to 65535",
		"offerings.0.credit: found -1, allowed a number from 0 up",
	}, "\n")
	if err == nil || err.Error() != want {
		t.Errorf("got faults\n%v\nwant\n%s", err, want)
	}
}
