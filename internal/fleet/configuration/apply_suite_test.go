package configuration_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestConfiguration(t *testing.T) {
	RegisterFailHandler(Fail)
	// The bound is for hung tests and not a measure, so that a busy machine does not fail them.
	SetDefaultEventuallyTimeout(20 * time.Second)
	RunSpecs(t, "fleet/configuration")
}
