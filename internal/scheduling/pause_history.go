package scheduling

import (
	"math"
	"time"
)

const (
	// pauseBins, binsPerOctave and minPause define the logarithmic bins of a
	// PauseHistory, from 100 ms to more than a day.
	pauseBins     = 41
	binsPerOctave = 2
	minPause      = 100 * time.Millisecond
	// minAtRisk is how many pauses must have reached a bin before its rate counts
	// as known.
	minAtRisk = 8
	// evidenceOctaves is how far beyond a pause minAtRisk must be met. Otherwise a
	// new history, which contains short pauses only, would suggest that no branch
	// returns after a long pause.
	evidenceOctaves = 1
)

// PauseHistory is a histogram of how long the branches of one kind paused between
// an answer and their next call. The zero value is empty. It is not safe for
// concurrent use.
//
// A pause that has not ended, or whose program ended first, is a censored
// observation: it counts as at risk up to its idle time, as in a Kaplan-Meier
// estimate. Without it, long pauses would be underrepresented.
type PauseHistory struct {
	returned  [pauseBins]float64
	abandoned [pauseBins]float64
}

// pauseDecay halves the weight of old pauses every 2000 new ones or so, so that
// the history follows the time of day.
const pauseDecay = 1 - 1.0/3000

// Returned records a pause that ended with a call.
func (h *PauseHistory) Returned(pause time.Duration) { h.count(&h.returned, pause) }

// Abandoned records a pause that will not end with a call.
func (h *PauseHistory) Abandoned(pause time.Duration) { h.count(&h.abandoned, pause) }

func (h *PauseHistory) count(bins *[pauseBins]float64, pause time.Duration) {
	for i := range h.returned {
		h.returned[i] *= pauseDecay
		h.abandoned[i] *= pauseDecay
	}
	bins[pauseBin(pause)]++
}

// pauseBin returns the index of the bin for a pause.
func pauseBin(pause time.Duration) int {
	if pause <= minPause {
		return 0
	}
	octaves := math.Log2(float64(pause) / float64(minPause))
	return min(int(octaves*binsPerOctave)+1, pauseBins-1)
}

// binEndSeconds returns the upper end of a bin in seconds.
func binEndSeconds(bin int) float64 {
	return minPause.Seconds() * math.Exp2(float64(bin)/binsPerOctave)
}

// ReturnRates contains, for a pause that has reached each bin, the best expected
// number of returns per second of further waiting. In the zero value no rate is
// known.
type ReturnRates struct {
	rates [pauseBins]float64
	known [pauseBins]bool
}

// Rates computes the rates. idle are the durations so far of the pauses that have
// not ended.
func (h *PauseHistory) Rates(idle []time.Duration) ReturnRates {
	returned, atRisk := h.returned, [pauseBins]float64{}
	for i := range atRisk {
		atRisk[i] = h.returned[i] + h.abandoned[i]
	}
	for _, pause := range idle {
		atRisk[pauseBin(pause)]++
	}
	for i := pauseBins - 2; i >= 0; i-- {
		atRisk[i] += atRisk[i+1]
	}
	var rates ReturnRates
	for start := range rates.rates {
		beyond := min(start+evidenceOctaves*binsPerOctave, pauseBins-1)
		rates.known[start] = atRisk[beyond] >= minAtRisk
		rates.rates[start] = bestRate(&returned, &atRisk, start)
	}
	return rates
}

// bestRate returns the maximum, over all times to stop waiting, of the
// probability that the branch returns by then divided by the expected wait.
func bestRate(returned, atRisk *[pauseBins]float64, start int) float64 {
	survival, returns, waited, best := 1.0, 0.0, 0.0, 0.0
	for bin := start; bin < pauseBins && atRisk[bin] > 0; bin++ {
		width := binEndSeconds(bin)
		if bin > 0 {
			width -= binEndSeconds(bin - 1)
		}
		chance := survival * returned[bin] / atRisk[bin]
		waited += (survival - chance/2) * width
		returns += chance
		survival -= chance
		best = max(best, returns/waited)
	}
	return best
}

// At returns the expected returns per second of further waiting after pause, and
// whether there are enough observations to know it.
func (r *ReturnRates) At(pause time.Duration) (rate float64, known bool) {
	bin := pauseBin(pause)
	return r.rates[bin], r.known[bin]
}
