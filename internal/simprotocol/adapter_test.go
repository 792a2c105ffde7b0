package simprotocol

import (
	"bytes"
	"strings"
	"testing"
)

const newInstanceLine = "new_instance sidecar_id=sidecar/0 rng_seed=7 balancers=1 zone=a zones=a,b weight_kind=silent " +
	"membership_mode=pushed limits.cancel=true limits.max_pushes=3 limits.retry_after=true " +
	"limits.max_retry_after_s=2.0 prices.cross_zone=0.0 tick_s=0.005 rules.cold_from=0.2 rules.cold_s=10 " +
	"rules.fall_multiple=3 rules.fall_s=1 offerings.count=1 offerings.0.name=step offerings.0.credit=5 " +
	"offerings.0.overdue_credit=0 offerings.0.quoted_time_s=0.5 offerings.0.cut_off_s=2 offerings.0.idempotency=retryable " +
	"offerings.0.streamed=false unknown.thing=1\n"

const requestField = "tid=5d3a91c4-b544-46b7-ac67-2a5efa00dc6c"

// batches is valid input: an instance and a list with one endpoint, then a request whose attempt succeeds.
const batches = "round wall_s=8.41225\n" + newInstanceLine +
	"roster table=0 nodes_list=1\nendpoint scale=1 endpoint=5 group=0 readiness=Ready area=a sku=x\n" +
	"fleet sidecar_id=sidecar/0 table=0 version=1 how=SAVED\nnews_to_come sidecar_id=sidecar/0 x=1\n" +
	"req sidecar_id=sidecar/0 " + requestField + " item=k opts=0 band=step patience_left_s=0.9\ngo\n" +
	"round wall_s=8.5\ncompleted sidecar_id=sidecar/0 " + requestField + " ended=1 code=S endpoint=5 send_no=0 spent_s=0.08\ngo\n"

func reply(t *testing.T, in string) string {
	t.Helper()
	var out bytes.Buffer
	if err := Run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

func TestFieldsInAnyOrder(t *testing.T) {
	var reversed []string
	for line := range strings.Lines(batches) {
		parts := strings.Fields(line)
		for i, j := 1, len(parts)-1; i < j; i, j = i+1, j-1 {
			parts[i], parts[j] = parts[j], parts[i]
		}
		reversed = append(reversed, strings.Join(parts, " ")+"\n")
	}
	want := "wake_at sidecar_id=sidecar/0 delay_s=0.885000000 cookie=w\n"
	got := reply(t, batches)
	if !strings.Contains(got, "route sidecar_id=sidecar/0 "+requestField+" endpoint=5 max_wait_s=0.") || !strings.Contains(got, want) {
		t.Errorf("unexpected reply:\n%s", got)
	}
	if reversedReply := reply(t, strings.Join(reversed, "")); reversedReply != got {
		t.Errorf("the reply differs with the fields reversed:\n%s", reversedReply)
	}
}

// A list replaces an earlier one of the same number, instead of adding to it.
func TestListNumbersCanBeReused(t *testing.T) {
	in := strings.Replace(batches, "roster table=0", "roster table=0 nodes_list=1\n"+
		"endpoint endpoint=9 readiness=Gone area=a\nroster table=0", 1)
	if got := reply(t, in); got != reply(t, batches) {
		t.Errorf("the earlier list under the number was used:\n%s", got)
	}
}

func TestEventsOfStoppedInstancesAreIgnored(t *testing.T) {
	in := batches + "round wall_s=9\nclient_gone sidecar_id=sidecar/0 " + requestField + "\nkilled sidecar_id=sidecar/0\n" +
		"wake sidecar_id=sidecar/0 cookie=w\ncompleted sidecar_id=sidecar/0 " + requestField +
		" ended=1 code=T endpoint=5 send_no=0 spent_s=0.08\ngo\n"
	if got := reply(t, in); got != reply(t, batches)+"ack\n" {
		t.Errorf("events that should be ignored were answered:\n%s", got)
	}
}

func TestMalformedLinesAreErrors(t *testing.T) {
	for _, change := range [][2]string{
		{"wall_s=8.41225", "wall_s=soon"}, {"rng_seed=7 ", ""}, {"zone=a ", ""}, {"max_pushes=3", "max_pushes=-3"},
		{"weight_kind=silent", "weight_kind=odd"}, {"nodes_list=1", "nodes_list=2"}, {"readiness=Ready", "readiness=Odd"},
		{"endpoint=5 group", "endpoint=4294967296 group"}, {"scale=1", "scale=NaN"}, {"how=SAVED", "how=ODD"},
		{"fleet sidecar_id=sidecar/0 table=0", "fleet sidecar_id=sidecar/0 table=16"}, {"band=step", "band=other"},
		{" patience_left_s=0.9", ""}, {"code=S", "code=Q"}, {"ended=1", "ended=2"}, {"spent_s=0.08", "spent_s=-1"},
		{"send_no=0 ", ""}, {"round wall_s=8.5\n", ""}, {requestField + " item", "tid=short item"},
	} {
		in := strings.Replace(batches, change[0], change[1], 1)
		if in == batches {
			t.Fatalf("%q is not in the batches", change[0])
		}
		if err := Run(strings.NewReader(in), &bytes.Buffer{}); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q for %q: want an error of one line, got %v", change[1], change[0], err)
		}
	}
}

func FuzzRun(f *testing.F) {
	f.Add([]byte(batches))
	f.Add([]byte(strings.ReplaceAll(batches, "how=SAVED", "how=FULL")))
	f.Add([]byte(strings.ReplaceAll(batches, "code=S", "code=T")))
	f.Fuzz(func(t *testing.T, in []byte) {
		var out bytes.Buffer
		err := Run(bytes.NewReader(in), &out)
		for line := range strings.Lines(out.String()) {
			if line != "ack\n" && !strings.Contains(line, " sidecar_id=") {
				t.Errorf("line %q is not part of a reply; Run returned error %v", line, err)
			}
		}
	})
}
