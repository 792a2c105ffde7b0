package engine

import "strconv"

var results = [Results]string{"completed", "rejected", "failed"}

// EachFigure hands over every figure that operators are shown, under the name that they know it by; labels are in the Prometheus form,
// rises tells a counter.
func (e *Engine) EachFigure(one func(name, labels string, n int64, rises bool)) {
	for o := range int(e.names.Load()) {
		for r := range results {
			one("edge_gw_downstream_requests_total", e.labels[o][r], e.Tally.Answered[o][r].Load(), true)
		}
	}
	one("edge_gw_upstream_requests_total", "", e.Tally.Written.Load(), true)
	one("edge_gw_pending", "", e.Tally.Pending.Load(), false)
	one("edge_gw_members", "", e.Tally.Endpoints.Load(), false)
	one("edge_gw_members_unavailable", "", e.Tally.Unavailable.Load(), false)
}

// AppendFigures writes those figures, a line each.
func (e *Engine) AppendFigures(to []byte) []byte {
	e.EachFigure(func(name, labels string, n int64, _ bool) {
		to = append(append(append(to, name...), labels...), ' ')
		to = append(strconv.AppendInt(to, n, 10), '\n')
	})
	return to
}

// label writes what tells one class and result.
func label(offering, result string) string {
	b := []byte(`{lane="`)
	for _, c := range []byte(offering) {
		switch c {
		case '\\', '"':
			b = append(b, '\\', c)
		case '\n':
			b = append(b, '\\', 'n')
		default:
			b = append(b, c)
		}
	}
	return string(b) + `",result="` + result + `"}`
}
