package engine

import "strconv"

// resultNames are the results as they appear in the labels of the request metrics.
var resultNames = [NumResults]string{Completed: "completed", Rejected: "rejected", Failed: "failed"}

// classLabels are the labels of a class's request metrics, by result.
type classLabels [NumResults]string

func newClassLabels(class string) (labels classLabels) {
	for result, name := range resultNames {
		labels[result] = label(class, name)
	}
	return labels
}

// classRow returns the row of request metrics of the classes with the given name. There are maxClasses rows; if more
// names are used over time, the last ones share a row.
func (e *Engine) classRow(class string) int {
	rows := int(e.classRows.Load())
	labels := newClassLabels(class)
	for row := range rows {
		if e.classLabels[row] == labels {
			return row
		}
	}
	if rows == len(e.classLabels) {
		return rows - 1
	}
	e.classLabels[rows] = labels
	e.classRows.Store(int64(rows) + 1)
	return rows
}

// EachFigure calls figure for every metric that operators see, with its labels in the Prometheus format and whether it
// is a counter.
func (e *Engine) EachFigure(figure func(name, labels string, n int64, isCounter bool)) {
	for row := range int(e.classRows.Load()) {
		for result := range resultNames {
			n := e.Metrics.Answered[row][result].Load()
			figure("edge_gw_downstream_requests_total", e.classLabels[row][result], n, true)
		}
	}
	figure("edge_gw_upstream_requests_total", "", e.Metrics.Written.Load(), true)
	figure("edge_gw_pending", "", e.Metrics.Pending.Load(), false)
	figure("edge_gw_members", "", e.Metrics.Endpoints.Load(), false)
	figure("edge_gw_members_unavailable", "", e.Metrics.Unavailable.Load(), false)
}

// AppendFigures appends the metrics in a text form, one per line.
func (e *Engine) AppendFigures(to []byte) []byte {
	e.EachFigure(func(name, labels string, n int64, _ bool) {
		to = append(to, name...)
		to = append(to, labels...)
		to = append(to, ' ')
		to = strconv.AppendInt(to, n, 10)
		to = append(to, '\n')
	})
	return to
}

// label returns the labels of a class and a result in the Prometheus format.
func label(class, result string) string {
	b := []byte(`{lane="`)
	for _, c := range []byte(class) {
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
