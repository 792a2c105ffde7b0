package admin

import (
	"github.com/prometheus/client_golang/prometheus"

	"pepperlead/policy"
)

// LatencyBuckets are the upper bounds of the latency histograms, in seconds.
var LatencyBuckets = []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10}

// AnswerNames are the labels of the kinds of final answers, in the order of the engine's constants.
var AnswerNames = []string{"honoured", "declined", "turned_back", "given_up"}

// Latency measures final answers by class and kind. Observing allocates nothing.
type Latency struct {
	histograms *prometheus.HistogramVec
	byClass    [][]prometheus.Observer // then by kind of answer
}

// NewLatency makes the histograms, all of them empty.
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

// SetClassName has the answers of a class count under that name.
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

// Observe measures a final answer; answer is its index in AnswerNames.
func (l *Latency) Observe(class policy.ClassID, answer int, spent policy.Time) {
	l.byClass[class][answer].Observe(float64(spent) / float64(policy.Second))
}
