package burn

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Names of the metrics that a report is computed from.
const (
	metricAttained       = "dogwoodfold_attained_total"
	metricOffered        = "dogwoodfold_offered_total"
	metricWindowAttained = "dogwoodfold_window_attained"
	metricWindowOffered  = "dogwoodfold_window_offered"
	metricObjective      = "dogwoodfold_objective"
	metricRefused        = "dogwoodfold_refused_within_rate_total"
)

const (
	labelService  = "service"
	labelCustomer = "customer"
	labelWindow   = "window"
)

// Recorder counts calls and refusals and exports the counts as metrics.
type Recorder struct {
	tracker   *Tracker
	now       func() time.Time
	attained  *prometheus.CounterVec
	offered   *prometheus.CounterVec
	refused   *prometheus.CounterVec
	objective *prometheus.GaugeVec

	windowAttained *prometheus.Desc
	windowOffered  *prometheus.Desc
}

// NewRecorder returns a recorder and registers its metrics. now returns the
// current time and is called when metrics are collected.
func NewRecorder(registry *prometheus.Registry, now func() time.Time) *Recorder {
	labels := []string{labelService, labelCustomer}
	windowLabels := []string{labelService, labelCustomer, labelWindow}
	r := &Recorder{
		tracker: NewTracker(),
		now:     now,
		attained: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: metricAttained,
			Help: "Calls that attained the service's target.",
		}, labels),
		offered: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: metricOffered,
			Help: "Calls that count against the service's objective.",
		}, labels),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: metricRefused,
			Help: "Calls refused as not run although within the customer's rate.",
		}, labels),
		objective: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: metricObjective,
			Help: "Share of calls that must attain the target.",
		}, []string{labelService}),
		windowAttained: prometheus.NewDesc(metricWindowAttained,
			"Calls that attained the target, over a sliding window.", windowLabels, nil),
		windowOffered: prometheus.NewDesc(metricWindowOffered,
			"Calls that count against the objective, over a sliding window.", windowLabels, nil),
	}
	registry.MustRegister(r.attained, r.offered, r.refused, r.objective, r)
	return r
}

// RecordCall counts a call that is subject to the objective. attained tells whether
// it met the service's target.
func (r *Recorder) RecordCall(now time.Time, s Series, attained bool) {
	r.tracker.Record(now, s, attained)
	r.offered.WithLabelValues(s.Service, s.Customer).Inc()
	if attained {
		r.attained.WithLabelValues(s.Service, s.Customer).Inc()
	}
}

// RecordRefusal counts a call that was refused although it was within the
// customer's rate.
func (r *Recorder) RecordRefusal(s Series) {
	r.refused.WithLabelValues(s.Service, s.Customer).Inc()
}

// SetObjective sets the objective of a service.
func (r *Recorder) SetObjective(service string, objective float64) {
	r.objective.WithLabelValues(service).Set(objective)
}

// Describe implements prometheus.Collector.
func (r *Recorder) Describe(out chan<- *prometheus.Desc) {
	out <- r.windowAttained
	out <- r.windowOffered
}

// Collect implements prometheus.Collector.
func (r *Recorder) Collect(out chan<- prometheus.Metric) {
	now := r.now()
	for _, s := range r.tracker.Series() {
		for _, w := range Windows {
			c := r.tracker.Sum(now, s, w)
			labels := []string{s.Service, s.Customer, w.String()}
			out <- prometheus.MustNewConstMetric(r.windowAttained, prometheus.GaugeValue, c.Attained, labels...)
			out <- prometheus.MustNewConstMetric(r.windowOffered, prometheus.GaugeValue, c.Offered, labels...)
		}
	}
}
