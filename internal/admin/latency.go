package admin

import (
	"github.com/prometheus/client_golang/prometheus"

	"pepperlead/policy"
)

// LatencyBuckets are the upper bounds of the latency histograms, in seconds.
var LatencyBuckets = []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10}

// AnswerNames are the metric labels of the kinds of final responses, in the order of the engine's constants.
var AnswerNames = []string{"honoured", "declined", "turned_back", "given_up"}

// Latency records the latency of final responses by class and kind. Observe doesn't allocate.
type Latency struct {
	histograms *prometheus.HistogramVec
	byClass    [][]prometheus.Observer // by class, then by index in AnswerNames
}

// NewLatency returns empty histograms for the classes.
func NewLatency(classes []policy.Class) *Latency {
	options := prometheus.HistogramOpts{
		Name:    "pepperlead_answer_seconds",
		Help:    "From the last byte of a ticket to its final answer.",
		Buckets: LatencyBuckets,
	}
	l := &Latency{histograms: prometheus.NewHistogramVec(options, []string{"offering", "answer"})}
	for id, class := range classes {
		l.SetClassName(policy.ClassID(id), class.Name)
	}
	return l
}

// SetClassName sets the name under which the responses of a class are recorded from now on.
func (l *Latency) SetClassName(class policy.ClassID, name string) {
	for len(l.byClass) <= int(class) {
		l.byClass = append(l.byClass, nil)
	}
	var observers []prometheus.Observer
	for _, answer := range AnswerNames {
		observers = append(observers, l.histograms.WithLabelValues(name, answer))
	}
	l.byClass[class] = observers
}

// Observe records a final response whose kind is the index in AnswerNames.
func (l *Latency) Observe(class policy.ClassID, kind int, latency policy.Time) {
	l.byClass[class][kind].Observe(float64(latency) / float64(policy.Second))
}
