package peer

import (
	"fmt"
	"strings"

	"gaugerelay/internal/outlier"
)

// WriteStatus appends the state of the service to text, in the format for operators that docs/operators/fleet.md describes.
// It must be called on the goroutine of the event loop.
func (s *Service) WriteStatus(text *strings.Builder, nowMs float64) {
	s.writeBounds(text)
	for i, addr := range s.options.Peers {
		fmt.Fprintf(text, "member %d %s %s\n", i, addr, s.members.State(uint16(i)))
	}
	for _, ejection := range s.outliers.Ejections() {
		if server := s.servers.listed[ejection.Server]; server != nil {
			fmt.Fprintf(text, "verdict %s %s by %d age_ms %.0f\n",
				server.Name, conditionLabel(ejection.Condition), ejection.Reporters, ejection.AgeMs)
		}
	}
	for _, pool := range s.quotas.Pools() {
		lent, borrowed := s.quotas.LentAndBorrowed(pool)
		fmt.Fprintf(text, "volume %016x held %.4f lent %.4f borrowed %.4f\n",
			pool, s.quotas.AvailableFraction(nowMs, pool), lent, borrowed)
	}
}

func (s *Service) writeBounds(text *strings.Builder) {
	bounds := s.options.Bounds()
	fmt.Fprintf(text, "self %d life %08x\n", s.options.Self, s.options.Incarnation)
	for _, bound := range []struct {
		name string
		ms   float64
	}{
		{"detect_ms", bounds.FailureDetectionMs},
		{"part_back_ms", bounds.QuotaReturnMs},
		{"start_hold_ms", bounds.StartupHoldMs},
		{"word_age_ms", bounds.ReportAgeMs},
		{"shun_ms", bounds.EjectionMs},
	} {
		fmt.Fprintf(text, "bound %s %.0f\n", bound.name, bound.ms)
	}
}

// conditionLabel returns the name by which the status text calls a condition. These names are the same in all versions of the
// program.
func conditionLabel(condition outlier.Condition) string {
	switch condition {
	case outlier.Failing:
		return "failing"
	case outlier.Withdrawn:
		return "closed"
	default:
		return ""
	}
}
