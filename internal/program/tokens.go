package program

import "stepseam.example/stepseam/api"

// Parameters for sizes of prompts that no engine has counted.
const (
	// bytesPerToken is a typical mean. It is used for scheduling decisions and never
	// for the budget.
	bytesPerToken = 4
	// messageOverheadTokens bounds the tokens that a chat template adds per message,
	// promptOverheadTokens those that it adds per prompt.
	messageOverheadTokens = 8
	promptOverheadTokens  = 16
)

// upperBoundTokens returns an upper bound of the size of messages: a byte-level
// tokenizer never produces more tokens than there are bytes.
func upperBoundTokens(messages []api.Message) int64 {
	total := int64(0)
	for _, message := range messages {
		total += int64(len(message.Role)+len(message.Content)) + messageOverheadTokens
	}
	return total
}

// estimateTokens returns the expected size of messages.
func estimateTokens(messages []api.Message) int64 {
	total := int64(0)
	for _, message := range messages {
		total += int64(len(message.Content))/bytesPerToken + 1
	}
	return total
}
