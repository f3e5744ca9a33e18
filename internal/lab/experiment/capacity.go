package experiment

import (
	"math/rand/v2"
	"time"
)

const (
	// capacitySample is the number of programs that Capacity draws of each class.
	capacitySample = 1000
	// maxRetention and retentionPrecision bound the binary search for the longest
	// pause over which an ideal pool can keep prefixes cached.
	maxRetention       = 24 * time.Hour
	retentionPrecision = time.Second
)

// Capacity returns the number of programs per second that the site's engines could
// finish with ideal scheduling: each engine always decodes a full batch, each call
// prefills only the tokens that are new to its branch, and no prefix is cached
// after the end of its branch or on two engines. Prefixes stay cached over pauses
// up to the longest duration for which all of them fit into the pool's cache at
// that rate; after a longer pause the whole history is prefilled again.
//
// It is an upper bound that no policy reaches, because of bursts, uneven batches,
// delayed signals and failed engines.
func Capacity(site *Site) float64 {
	sample := capacityPrograms(site)
	low, high := time.Duration(0), maxRetention
	for high-low > retentionPrecision {
		middle := (low + high) / 2
		if fitsPool(site, sample, middle) {
			low = middle
		} else {
			high = middle
		}
	}
	rate, _ := idealRate(site, sample, low)
	return rate
}

// weightedProgram is a sampled program with its fraction of all programs.
type weightedProgram struct {
	program Program
	share   float64
}

func capacityPrograms(site *Site) []weightedProgram {
	random := rand.New(rand.NewPCG(1, 0xcafe))
	var sample []weightedProgram
	for i := range site.Classes {
		class := &site.Classes[i]
		for range capacitySample {
			sample = append(sample, weightedProgram{drawProgram(random, class), class.Share / capacitySample})
		}
	}
	return sample
}

func fitsPool(site *Site, sample []weightedProgram, retention time.Duration) bool {
	rate, tokenSeconds := idealRate(site, sample, retention)
	pool := float64(site.Engines * site.Engine.CacheCapacityTokens)
	return rate*tokenSeconds <= pool
}

// idealRate returns the programs per second that the engines finish if prefixes
// are kept over pauses up to retention, and the token-seconds of cache that a mean
// program takes.
func idealRate(site *Site, sample []weightedProgram, retention time.Duration) (rate, tokenSeconds float64) {
	work := 0.0
	for i := range sample {
		engineSeconds, memory := idealWork(site, &sample[i].program, retention)
		work += sample[i].share * engineSeconds
		tokenSeconds += sample[i].share * memory
	}
	return float64(site.Engines) / work, tokenSeconds
}

// idealWork returns the engine seconds and the token-seconds of cache of one program.
func idealWork(site *Site, program *Program, retention time.Duration) (engineSeconds, tokenSeconds float64) {
	history := map[string]int{}
	batch := site.Engine.MaxBatch
	for _, call := range program.Calls {
		before := history[call.Branch]
		uncached := call.NewTokens
		if call.Pause > retention {
			uncached += before
		}
		context := before + call.NewTokens + call.AnswerTokens
		prefill := site.Engine.PrefillTime(uncached)
		decode := time.Duration(call.AnswerTokens) * site.Engine.DecodeStep(batch, batch*context)
		engineSeconds += prefill.Seconds() + decode.Seconds()/float64(batch)
		tokenSeconds += float64(context) * (prefill + decode).Seconds()
		tokenSeconds += float64(before) * min(call.Pause, retention).Seconds()
		history[call.Branch] = context
	}
	return engineSeconds, tokenSeconds
}
