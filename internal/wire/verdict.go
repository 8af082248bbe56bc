package wire

import (
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

// VerdictToWire converts a verdict to its protobuf value.
func VerdictToWire(v fault.Verdict) wirepb.Verdict {
	switch v {
	case fault.NotRun:
		return wirepb.Verdict_VERDICT_NOT_RUN
	case fault.Ran:
		return wirepb.Verdict_VERDICT_RAN
	default:
		return wirepb.Verdict_VERDICT_MAY_HAVE_RUN
	}
}

// VerdictFromWire converts a protobuf value to a verdict. An unknown value
// becomes MayHaveRun, the verdict that makes the weakest claim.
func VerdictFromWire(v wirepb.Verdict) fault.Verdict {
	switch v {
	case wirepb.Verdict_VERDICT_NOT_RUN:
		return fault.NotRun
	case wirepb.Verdict_VERDICT_RAN:
		return fault.Ran
	default:
		return fault.MayHaveRun
	}
}
