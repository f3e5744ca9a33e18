// Package model models the engine emulator's timing and memory: how long prefill,
// decoding and transfers take, and what the prefix cache contains. It is pure: no clock,
// no locks, no randomness. The emulator runs it in real or virtual time; a discrete-event
// simulation calls it directly.
//
// With p uncached prompt tokens, b sequences in the batch, k tokens of context in all of
// them, and n tokens transferred:
//
//	prefill(p)      = 0 for p = 0, else PrefillOverhead + p / PrefillTokensPerSecond
//	decodeStep(b,k) = DecodeBase + (b-1)*DecodePerSequence + k/1000*DecodePerThousandContextTokens
//	transfer(n)     = TransferOverhead + n / TransferTokensPerSecond
//
// A batch runs one step at a time. A step decodes one token of each sequence whose
// prefill is done, and prefills up to PrefillChunkTokens of waiting prompts; its time is
// the sum of both. So a long prompt slows the decoding of the other sequences, as in an
// engine with chunked prefill.
package model

import (
	"time"
)

// Parameters describe one engine. The zero value takes no time but has no batch and no
// memory; start from Default.
type Parameters struct {
	// MaxBatch is the number of streams that run at once; others wait.
	MaxBatch int `yaml:"max_batch" validate:"min=1,max=4096"`
	// PrefillOverhead is the fixed cost of one prompt's prefill.
	PrefillOverhead        time.Duration `yaml:"prefill_overhead" validate:"min=0"`
	PrefillTokensPerSecond float64       `yaml:"prefill_tokens_per_second" validate:"gt=0"`
	// PrefillChunkTokens is the number of waiting prompt tokens that one step prefills.
	PrefillChunkTokens int `yaml:"prefill_chunk_tokens" validate:"min=1"`
	// DecodeBase is the time of one step with a batch of one, DecodePerSequence the time
	// that each further sequence adds.
	DecodeBase        time.Duration `yaml:"decode_base" validate:"min=0"`
	DecodePerSequence time.Duration `yaml:"decode_per_sequence" validate:"min=0"`
	// DecodePerThousandContextTokens is the time added for reading the batch's context.
	DecodePerThousandContextTokens time.Duration `yaml:"decode_per_thousand_context_tokens" validate:"min=0"`
	// CacheCapacityTokens is the memory for running streams and cached prefixes.
	CacheCapacityTokens int `yaml:"cache_capacity_tokens" validate:"min=1"`
	// TransferOverhead and TransferTokensPerSecond determine the time of an export or
	// import.
	TransferOverhead        time.Duration `yaml:"transfer_overhead" validate:"min=0"`
	TransferTokensPerSecond float64       `yaml:"transfer_tokens_per_second" validate:"gt=0"`
	// ModelLoadTime and AdapterLoadTime are the durations of load orders.
	ModelLoadTime   time.Duration `yaml:"model_load_time" validate:"min=0"`
	AdapterLoadTime time.Duration `yaml:"adapter_load_time" validate:"min=0"`
}

// Default describes a mid-sized model on one accelerator.
func Default() Parameters {
	return Parameters{
		MaxBatch:                       16,
		PrefillOverhead:                5 * time.Millisecond,
		PrefillTokensPerSecond:         8000,
		PrefillChunkTokens:             512,
		DecodeBase:                     12 * time.Millisecond,
		DecodePerSequence:              300 * time.Microsecond,
		DecodePerThousandContextTokens: 20 * time.Microsecond,
		CacheCapacityTokens:            200_000,
		TransferOverhead:               10 * time.Millisecond,
		TransferTokensPerSecond:        60_000,
		ModelLoadTime:                  20 * time.Second,
		AdapterLoadTime:                2 * time.Second,
	}
}

// PrefillTime returns the time to prefill a prompt with uncached tokens missing from the
// cache, without other streams.
func (p Parameters) PrefillTime(uncached int) time.Duration {
	if uncached <= 0 {
		return 0
	}
	return p.PrefillOverhead + tokensAt(uncached, p.PrefillTokensPerSecond)
}

// DecodeStep returns the time of one step that decodes one token for each of batch
// sequences with contextTokens of context in total.
func (p Parameters) DecodeStep(batch, contextTokens int) time.Duration {
	if batch <= 0 {
		return 0
	}
	step := p.DecodeBase + time.Duration(batch-1)*p.DecodePerSequence
	return step + time.Duration(float64(contextTokens)/1000*float64(p.DecodePerThousandContextTokens))
}

// TransferTime returns the time to export or import a prefix of tokens.
func (p Parameters) TransferTime(tokens int) time.Duration {
	return p.TransferOverhead + tokensAt(max(tokens, 0), p.TransferTokensPerSecond)
}

func tokensAt(tokens int, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / perSecond * float64(time.Second))
}
