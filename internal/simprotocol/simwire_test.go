package simprotocol

import (
	"bytes"
	"strings"
	"testing"
)

const settings = "new_instance sidecar_id=sidecar/0 rng_seed=7 balancers=1 zone=a zones=a,b weight_kind=silent " +
	"membership_mode=pushed limits.cancel=true limits.max_pushes=3 limits.retry_after=true " +
	"limits.max_retry_after_s=2.0 prices.cross_zone=0.0 tick_s=0.005 rules.cold_from=0.2 rules.cold_s=10 " +
	"rules.fall_multiple=3 rules.fall_s=1 offerings.count=1 offerings.0.name=step offerings.0.credit=5 " +
	"offerings.0.overdue_credit=0 offerings.0.quoted_time_s=0.5 offerings.0.cut_off_s=2 offerings.0.idempotency=retryable " +
	"offerings.0.streamed=false unknown.thing=1\n"

const id = "tid=5d3a91c4-b544-46b7-ac67-2a5efa00dc6c"

const day = "round wall_s=8.41225\n" + settings +
	"roster table=0 nodes_list=1\nendpoint scale=1 endpoint=5 group=0 readiness=Ready area=a sku=x\n" +
	"fleet sidecar_id=sidecar/0 table=0 version=1 how=SAVED\nnews_to_come sidecar_id=sidecar/0 x=1\n" +
	"req sidecar_id=sidecar/0 " + id + " item=k opts=0 band=step patience_left_s=0.9\ngo\n" +
	"round wall_s=8.5\ncompleted sidecar_id=sidecar/0 " + id + " ended=1 code=S endpoint=5 send_no=0 spent_s=0.08\ngo\n"

func run(t *testing.T, in string) string {
	t.Helper()
	var out bytes.Buffer
	if err := Run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

func TestFieldsInAnyOrder(t *testing.T) {
	var turned []string
	for line := range strings.Lines(day) {
		parts := strings.Fields(line)
		for i, j := 1, len(parts)-1; i < j; i, j = i+1, j-1 {
			parts[i], parts[j] = parts[j], parts[i]
		}
		turned = append(turned, strings.Join(parts, " ")+"\n")
	}
	want := "wake_at sidecar_id=sidecar/0 delay_s=0.885000000 cookie=w\n"
	got := run(t, day)
	if !strings.Contains(got, "route sidecar_id=sidecar/0 "+id+" endpoint=5 max_wait_s=0.") || !strings.Contains(got, want) {
		t.Errorf("unexpected replies:\n%s", got)
	}
	if other := run(t, strings.Join(turned, "")); other != got {
		t.Errorf("other replies with the fields turned round:\n%s", other)
	}
}

func TestListNumbersAreReused(t *testing.T) {
	in := strings.Replace(day, "roster table=0", "roster table=0 nodes_list=1\n"+
		"endpoint endpoint=9 readiness=Gone area=a\nroster table=0", 1)
	if got := run(t, in); got != run(t, day) {
		t.Errorf("the earlier list under the number was used:\n%s", got)
	}
}

func TestNewsOfStoppedInstancesAndTicketsIsPassedOver(t *testing.T) {
	in := day + "round wall_s=9\nclient_gone sidecar_id=sidecar/0 " + id + "\nkilled sidecar_id=sidecar/0\n" +
		"wake sidecar_id=sidecar/0 cookie=w\ncompleted sidecar_id=sidecar/0 " + id +
		" ended=1 code=T endpoint=5 send_no=0 spent_s=0.08\ngo\n"
	if got := run(t, in); got != run(t, day)+"ack\n" {
		t.Errorf("news that should be passed over was answered:\n%s", got)
	}
}

func TestMalformedLinesEndTheAdapter(t *testing.T) {
	for _, change := range [][2]string{
		{"wall_s=8.41225", "wall_s=soon"}, {"rng_seed=7 ", ""}, {"zone=a ", ""}, {"max_pushes=3", "max_pushes=-3"},
		{"weight_kind=silent", "weight_kind=odd"}, {"nodes_list=1", "nodes_list=2"}, {"readiness=Ready", "readiness=Odd"},
		{"endpoint=5 group", "endpoint=4294967296 group"}, {"scale=1", "scale=NaN"}, {"how=SAVED", "how=ODD"},
		{"fleet sidecar_id=sidecar/0 table=0", "fleet sidecar_id=sidecar/0 table=16"}, {"band=step", "band=other"},
		{" patience_left_s=0.9", ""}, {"code=S", "code=Q"}, {"ended=1", "ended=2"}, {"spent_s=0.08", "spent_s=-1"},
		{"send_no=0 ", ""}, {"round wall_s=8.5\n", ""}, {id + " item", "tid=short item"},
	} {
		in := strings.Replace(day, change[0], change[1], 1)
		if in == day {
			t.Fatalf("%q is not in the day", change[0])
		}
		if err := Run(strings.NewReader(in), &bytes.Buffer{}); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q for %q: want one plain line, got %v", change[1], change[0], err)
		}
	}
}

func FuzzRun(f *testing.F) {
	f.Add([]byte(day))
	f.Add([]byte(strings.ReplaceAll(day, "how=SAVED", "how=FULL")))
	f.Add([]byte(strings.ReplaceAll(day, "code=S", "code=T")))
	f.Fuzz(func(t *testing.T, in []byte) {
		var out bytes.Buffer
		err := Run(bytes.NewReader(in), &out)
		for line := range strings.Lines(out.String()) {
			if line != "ack\n" && !strings.Contains(line, " sidecar_id=") {
				t.Errorf("not a reply: %q (%v)", line, err)
			}
		}
	})
}
