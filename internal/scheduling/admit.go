package scheduling

import (
	"fmt"
	"math"
	"time"
)

// Admission is the input of Admit.
type Admission struct {
	Call Call
	// MaxConcurrent and TenantShare are this node's part of the limits of the
	// class's row; 0 is no limit.
	MaxConcurrent int
	TenantShare   float64
	// ClassRunning and TenantRunning count the class's running programs on this
	// node, in total and of the call's tenant.
	ClassRunning  int
	TenantRunning int
	// ProgramDuration is the typical duration of the class's programs, 0 if
	// unknown.
	ProgramDuration time.Duration
}

// defaultProgramDuration is used until a program of the class has been observed.
const defaultProgramDuration = 30 * time.Second

// Admit admits or refuses a call.
//
// A call of a running program is always admitted: programs are admitted as a
// whole, since stalling one half way wastes the work already done for it. The
// first call of a program is refused, before anything has run, if its class or
// tenant is at its limit; RetryAfter is the expected time until a program ends.
// The Stepseam policy also refuses first calls whose expected wait is too long.
func Admit(_ time.Time, admission Admission) Decision {
	if admission.Call.CallsSoFar > 0 {
		return Decision{Action: Run, Reason: "program is under way"}
	}
	if limit := admission.MaxConcurrent; limit > 0 {
		if admission.ClassRunning >= limit {
			return refuseAdmission(admission, admission.ClassRunning, limit, "class at its limit")
		}
		if share := tenantLimit(admission); share > 0 && admission.TenantRunning >= share {
			return refuseAdmission(admission, admission.TenantRunning, share, "tenant at its share of the class")
		}
	}
	return Decision{Action: Run, Reason: "within the limits"}
}

// tenantLimit returns how many programs of one tenant may run, at least one; 0
// is no limit.
func tenantLimit(admission Admission) int {
	if admission.TenantShare <= 0 || admission.TenantShare >= 1 {
		return 0
	}
	return max(1, int(math.Floor(admission.TenantShare*float64(admission.MaxConcurrent))))
}

// refuseAdmission refuses the call until one of the running programs is expected
// to have ended: with n of them at random progress, one ends about every n-th
// part of a program's duration.
func refuseAdmission(admission Admission, running, limit int, reason string) Decision {
	duration := admission.ProgramDuration
	if duration <= 0 {
		duration = defaultProgramDuration
	}
	excess := running - limit + 1
	wait := duration * time.Duration(excess) / time.Duration(running)
	return Decision{
		Action:     Refuse,
		RetryAfter: max(wait, minRetryAfter).Round(time.Millisecond),
		Reason:     fmt.Sprintf("%s: %d of %d running", reason, running, limit),
	}
}
