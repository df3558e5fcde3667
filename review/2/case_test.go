package case2

import (
	"testing"

	"review/casetest"
)

// TestReviewCase2 runs the script of the case, which claim.txt describes.
func TestReviewCase2(t *testing.T) { casetest.Run(t) }
