package admin

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
)

// collector exports the reporter's metrics, and the figures that the command server prints, to Prometheus. It reads
// them at each scrape.
type collector struct{ reporter Reporter }

// Describe sends no descriptions, because the metrics are known only when they are collected.
func (collector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (c collector) Collect(metrics chan<- prometheus.Metric) {
	c.reporter.EachMetric(MetricSender(metrics, "See docs/oncall.md."))
	c.reporter.EachFigure(func(name, labels string, n int64, isCounter bool) {
		names, values, err := parseLabels(labels)
		if err != nil {
			return
		}
		description := prometheus.NewDesc(name, "See docs/operators.md.", names, nil)
		metrics <- prometheus.MustNewConstMetric(description, valueType(isCounter), float64(n), values...)
	})
}

// MetricSender returns a function that sends a value as a Prometheus metric with the product's prefix and the help
// text.
func MetricSender(metrics chan<- prometheus.Metric, help string) func(name string, value float64, isCounter bool) {
	return func(name string, value float64, isCounter bool) {
		fullName := "pepperlead_" + name
		if isCounter {
			fullName += "_total"
		}
		description := prometheus.NewDesc(fullName, help, nil, nil)
		metrics <- prometheus.MustNewConstMetric(description, valueType(isCounter), value)
	}
}

func valueType(isCounter bool) prometheus.ValueType {
	if isCounter {
		return prometheus.CounterValue
	}
	return prometheus.GaugeValue
}

// parseLabels parses labels in the command server's format: {lane="...",result="..."}, or an empty string.
func parseLabels(labels string) (names, values []string, err error) {
	rest := strings.Trim(labels, "{}")
	for rest != "" {
		name, remainder, _ := strings.Cut(rest, "=")
		literal, err := strconv.QuotedPrefix(remainder)
		if err != nil {
			return nil, nil, fmt.Errorf("label %s: %w", name, err)
		}
		value, err := strconv.Unquote(literal)
		if err != nil {
			return nil, nil, fmt.Errorf("label %s: %w", name, err)
		}
		names = append(names, name)
		values = append(values, value)
		rest = strings.TrimPrefix(remainder[len(literal):], ",")
	}
	return names, values, nil
}
