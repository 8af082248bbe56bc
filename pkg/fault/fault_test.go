package fault_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"dogwoodfold/pkg/fault"
)

func TestVerdictDefaultsToMayHaveRun(t *testing.T) {
	if v := fault.VerdictOf(errors.New("plain")); v != fault.MayHaveRun {
		t.Fatalf("verdict of a plain error = %v, want %v", v, fault.MayHaveRun)
	}
}

func TestValuesSurviveWrapping(t *testing.T) {
	err := fault.WithRetryAfter(fault.New(fault.NotRun, fault.CodeRate, "slow down"), time.Second)
	err = fmt.Errorf("entry: %w", fault.WithParam(err, "model"))
	if fault.VerdictOf(err) != fault.NotRun || fault.CodeOf(err) != fault.CodeRate {
		t.Errorf("verdict, code = %v, %v", fault.VerdictOf(err), fault.CodeOf(err))
	}
	if fault.RetryAfterOf(err) != time.Second || fault.StatusOf(err) != 429 {
		t.Errorf("retry after, status = %v, %d", fault.RetryAfterOf(err), fault.StatusOf(err))
	}
	if fault.ParamOf(err) != "model" {
		t.Errorf("param = %q, want model", fault.ParamOf(err))
	}
}
