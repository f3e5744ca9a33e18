package program

import "stepseam.example/stepseam/api"

// The rules for tokens before an engine has counted them.
const (
	// bytesPerToken is the usual mean; it serves decisions, never the budget.
	bytesPerToken = 4
	// messageOverheadTokens bounds what a chat template puts around one message,
	// promptOverheadTokens what it puts around the whole prompt.
	messageOverheadTokens = 8
	promptOverheadTokens  = 16
)

// boundTokens is the worst case of messages: a tokenizer that works on bytes
// never makes more tokens than there are bytes.
func boundTokens(messages []api.Message) int64 {
	total := int64(0)
	for _, message := range messages {
		total += int64(len(message.Role)+len(message.Content)) + messageOverheadTokens
	}
	return total
}

// estimateTokens is the expected size of messages.
func estimateTokens(messages []api.Message) int64 {
	total := int64(0)
	for _, message := range messages {
		total += int64(len(message.Content))/bytesPerToken + 1
	}
	return total
}
