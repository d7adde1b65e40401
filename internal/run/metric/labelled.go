package metric

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	otel "go.opentelemetry.io/otel/metric"
)

// ObserveLabelled registers a gauge with a value for each of a bounded number of labels, such as names of accounts. They are obtained from
// read whenever metrics are collected.
func (s *Set) ObserveLabelled(
	name, description, label string, read func(yield func(value string, measured float64)),
) (err error) {
	defer func() { err = Error.Wrap(err) }()

	if s == nil {
		return nil
	}
	_, err = s.meter.Float64ObservableGauge(name, otel.WithDescription(description),
		otel.WithFloat64Callback(func(_ context.Context, o otel.Float64Observer) error {
			read(func(value string, measured float64) {
				o.Observe(measured, otel.WithAttributes(attribute.String(label, value)))
			})

			return nil
		}))

	return err
}
