// Package metric provides the OpenTelemetry instruments of a process.
//
// A process creates one Set and passes it to the components that record measurements. The durations of requests are histograms
// by caller, class and result, those of target requests by service and result. All metrics are exported in the Prometheus text
// format:
//
//	metrics, err := metric.New()
//	metrics.Request(ctx, "chattimala", contract.FullPage, "Answered", worth, elapsed)
//	http.Handle("/metrics", metrics.Handler())
//
// The methods that record or register a measurement do nothing on a nil Set.
package metric

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/zeebo/errs"
	"go.opentelemetry.io/otel/attribute"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	otel "go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"github.com/hickorynotch/hickorynotch/internal/world/contract"
)

// Error is the class of the errors of this package.
var Error = errs.Class("metric")

// durationBuckets are the upper bounds of the histogram buckets for durations, in seconds. They are closely spaced around the
// deadlines that contracts declare, 50 to 500 ms.
var durationBuckets = []float64{
	0.001, 0.002, 0.004, 0.006, 0.010, 0.015, 0.025, 0.040, 0.060, 0.085, 0.120, 0.170, 0.250, 0.400, 0.700, 1.2, 2.5, 5,
}

// coverageBuckets are the upper bounds of the histogram buckets for coverage. They distinguish answers that are almost complete
// from those that lack many shards.
var coverageBuckets = []float64{0, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999}

// Set contains the instruments of one process.
type Set struct {
	provider *sdk.MeterProvider
	handler  http.Handler
	meter    otel.Meter

	requestDuration otel.Float64Histogram
	answerCoverage  otel.Float64Histogram
	targetDuration  otel.Float64Histogram
	requestWorth    otel.Float64Counter
	boundReached    otel.Int64Counter
	targetSignals   otel.Int64Counter
	passedOver      otel.Int64Counter
	tierDuration    otel.Float64Histogram
	refusals        otel.Int64Counter
	refusalReasons  labelLimit
	regionRefusals  otel.Int64Counter
	clientsRefused  otel.Int64Counter
}

// New returns a Set with its own Prometheus registry.
func New() (s *Set, err error) {
	defer func() { err = Error.Wrap(err) }()

	registry := prometheus.NewRegistry()
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry))
	if err != nil {
		return nil, err
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(exporter))
	s = &Set{
		provider: provider,
		handler:  promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
		meter:    provider.Meter("hickorynotch"),
	}

	return s, s.createInstruments()
}

// createInstruments creates the instruments of s. Package load of the benchmark reads some of them by name.
func (s *Set) createInstruments() (err error) {
	if s.requestDuration, err = s.meter.Float64Histogram("hickorynotch.request.duration",
		otel.WithDescription("Time from a caller's request to its answer or refusal, by caller, class and result."),
		otel.WithUnit("s"), otel.WithExplicitBucketBoundaries(durationBuckets...)); err != nil {
		return err
	}
	if s.answerCoverage, err = s.meter.Float64Histogram("hickorynotch.answer.coverage",
		otel.WithDescription("Fraction of the asked shards that an answer covers, by caller and class."),
		otel.WithUnit("1"), otel.WithExplicitBucketBoundaries(coverageBuckets...)); err != nil {
		return err
	}
	if s.targetDuration, err = s.meter.Float64Histogram("hickorynotch.target.duration",
		otel.WithDescription("Time of one target request, by service and result."),
		otel.WithUnit("s"), otel.WithExplicitBucketBoundaries(durationBuckets...)); err != nil {
		return err
	}
	if s.requestWorth, err = s.meter.Float64Counter("hickorynotch.request.worth",
		otel.WithDescription("Declared worth of requests, by caller, class and result.")); err != nil {
		return err
	}
	if s.tierDuration, err = s.meter.Float64Histogram("hickorynotch.tier.duration",
		otel.WithDescription("Time from a caller's request to its end, by route and result."),
		otel.WithUnit("s"), otel.WithExplicitBucketBoundaries(durationBuckets...)); err != nil {
		return err
	}
	if s.boundReached, err = s.meter.Int64Counter("hickorynotch.bound.reached",
		otel.WithDescription("How often a queue, pool or map was at its bound, by name.")); err != nil {
		return err
	}
	if s.refusals, err = s.meter.Int64Counter("hickorynotch.refusals",
		otel.WithDescription("Number of callers' requests that were answered without being run, by reason.")); err != nil {
		return err
	}
	if s.regionRefusals, err = s.meter.Int64Counter("hickorynotch.region.refusals",
		otel.WithDescription("How often a request was refused because the regions that it allows lack targets, by allowed region.")); err != nil {
		return err
	}
	if s.passedOver, err = s.meter.Int64Counter("hickorynotch.target.passedover",
		otel.WithDescription("How often a cold target was chosen for a request and did not get it, because of its limit, by service.")); err != nil {
		return err
	}
	if s.clientsRefused, err = s.meter.Int64Counter("hickorynotch.clients.refused",
		otel.WithDescription("How many connections of clients outside the limits were refused or closed, by address and reason.")); err != nil {
		return err
	}
	s.targetSignals, err = s.meter.Int64Counter("hickorynotch.target.signals",
		otel.WithDescription("How often a target said that it leaves or wants no requests for some time, or ended with a request, by signal."))

	return err
}

// Handler returns a handler that serves the metrics in the Prometheus text format.
func (s *Set) Handler() http.Handler {
	return s.handler
}

// Shutdown flushes the metrics and shuts the meter provider down.
func (s *Set) Shutdown(ctx context.Context) (err error) {
	defer func() { err = Error.Wrap(err) }()

	return s.provider.Shutdown(ctx)
}

// Request records the duration and the worth of a caller's request that ended with result.
func (s *Set) Request(
	ctx context.Context, caller string, class contract.Class, result string, worth float64, elapsed time.Duration,
) {
	if s == nil {
		return
	}
	labels := otel.WithAttributes(attribute.String("caller", caller), attribute.String("class", string(class)),
		attribute.String("result", result))
	s.requestDuration.Record(ctx, elapsed.Seconds(), labels)
	s.requestWorth.Add(ctx, worth, labels)
}

// Coverage records the fraction of the requested shards that an answer covers.
func (s *Set) Coverage(ctx context.Context, caller string, class contract.Class, fraction float64) {
	if s == nil {
		return
	}
	s.answerCoverage.Record(ctx, fraction,
		otel.WithAttributes(attribute.String("caller", caller), attribute.String("class", string(class))))
}

// Attempt records the duration of a target request that ended with result.
func (s *Set) Attempt(ctx context.Context, service, result string, elapsed time.Duration) {
	if s == nil {
		return
	}
	s.targetDuration.Record(ctx, elapsed.Seconds(),
		otel.WithAttributes(attribute.String("service", service), attribute.String("result", result)))
}

// Tier records the duration of a caller's request, by its route and by the result with which it ended.
func (s *Set) Tier(ctx context.Context, route, result string, elapsed time.Duration) {
	if s == nil {
		return
	}
	s.tierDuration.Record(ctx, elapsed.Seconds(),
		otel.WithAttributes(attribute.String("route", route), attribute.String("result", result)))
}

// Refusal counts a caller's request that was answered without being run.
func (s *Set) Refusal(ctx context.Context, reason string) {
	if s == nil {
		return
	}
	s.refusals.Add(ctx, 1, otel.WithAttributes(attribute.String("reason", s.refusalReasons.limited(reason))))
}

// BoundReached records that the named queue, pool or map was at its size limit.
func (s *Set) BoundReached(ctx context.Context, name string) {
	if s == nil {
		return
	}
	s.boundReached.Add(ctx, 1, otel.WithAttributes(attribute.String("name", name)))
}

// TargetSignal counts what a target says or shows of itself, such as Leaving.
func (s *Set) TargetSignal(ctx context.Context, signal string) {
	if s == nil {
		return
	}
	s.targetSignals.Add(ctx, 1, otel.WithAttributes(attribute.String("signal", signal)))
}

// RegionRefusal counts a request that was refused although it allows a region, because too few of its shards have a target there.
func (s *Set) RegionRefusal(ctx context.Context, region string) {
	if s == nil {
		return
	}
	s.regionRefusals.Add(ctx, 1, otel.WithAttributes(attribute.String("region", region)))
}

// PassedOver counts a request that a cold target of a service did not get.
func (s *Set) PassedOver(ctx context.Context, service string) {
	if s == nil {
		return
	}
	s.passedOver.Add(ctx, 1, otel.WithAttributes(attribute.String("service", service)))
}

// ClientRefused counts a connection to an address that was refused or closed, because its client is outside the limits.
func (s *Set) ClientRefused(ctx context.Context, address, reason string) {
	if s == nil {
		return
	}
	s.clientsRefused.Add(ctx, 1, otel.WithAttributes(attribute.String("address", address), attribute.String("reason", reason)))
}

// Observe registers a gauge, such as the revision in force. Its value is obtained from read whenever metrics are collected.
func (s *Set) Observe(name, description string, read func() float64) (err error) {
	defer func() { err = Error.Wrap(err) }()

	if s == nil {
		return nil
	}
	_, err = s.meter.Float64ObservableGauge(name, otel.WithDescription(description),
		otel.WithFloat64Callback(func(_ context.Context, o otel.Float64Observer) error {
			o.Observe(read())

			return nil
		}))

	return err
}
