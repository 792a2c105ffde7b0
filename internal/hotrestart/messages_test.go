package hotrestart

import "testing"

// Each line is parsed into its message, which has the same line again.
func TestMessagesAreParsed(t *testing.T) {
	for line, want := range map[string]message{
		"here":              {kind: messageHello},
		"met":               {kind: messageWelcome},
		"look 17":           newApply(17),
		"done 17":           {messageApplied, "17"},
		"tell":              {kind: messageStateRequest},
		"told ":             newState(nil),
		`told {"a": "b c"}`: newState([]byte(`{"a": "b c"}`)),
		"later":             {kind: "later"},
	} {
		got := parseMessage(line)
		if got != want {
			t.Errorf("%q: got %+v, want %+v", line, got, want)
		}
		if got.String() != line {
			t.Errorf("%q: encoded as %q", line, got.String())
		}
	}
}

// Payloads that are no sequence number count as 0.
func TestSequenceNumbers(t *testing.T) {
	for line, want := range map[string]uint64{"done 17": 17, "done": 0, "done x": 0, "done -1": 0} {
		if got := parseMessage(line).sequence(); got != want {
			t.Errorf("%q: got %d, want %d", line, got, want)
		}
	}
}
