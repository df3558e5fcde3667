package peer

import (
	"fmt"
	"io"

	"gaugerelay/internal/outlier"
)

// WriteStatus writes the state of the service as text for operators. The format is documented in docs/operators/fleet.md.
func (s *Service) WriteStatus(w io.Writer, nowMs float64) {
	s.writeBounds(w)
	for i, addr := range s.options.Peers {
		fmt.Fprintf(w, "member %d %s %s\n", i, addr, s.members.State(uint16(i)))
	}
	for _, ejection := range s.outliers.Ejections() {
		if server := s.servers.listed[ejection.Server]; server != nil {
			fmt.Fprintf(w, "verdict %s %s by %d age_ms %.0f\n",
				server.Name, conditionLabel(ejection.Condition), ejection.Reporters, ejection.AgeMs)
		}
	}
	for _, pool := range s.quotas.Pools() {
		lent, borrowed := s.quotas.LentAndBorrowed(pool)
		fmt.Fprintf(w, "volume %016x held %.4f lent %.4f borrowed %.4f\n",
			pool, s.quotas.AvailableFraction(nowMs, pool), lent, borrowed)
	}
}

func (s *Service) writeBounds(w io.Writer) {
	bounds := s.options.Bounds()
	fmt.Fprintf(w, "self %d life %08x\n", s.options.Self, s.options.Incarnation)
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
		fmt.Fprintf(w, "bound %s %.0f\n", bound.name, bound.ms)
	}
}

// conditionLabel returns the word for a condition in the status text, which stays the same between versions.
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
