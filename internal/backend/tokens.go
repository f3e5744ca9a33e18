package backend

// The parameters of token estimates: bytes of text per token, and tokens that a message adds
// for its role and delimiters.
const (
	BytesPerToken           = 4
	MessageOverheadInTokens = 4
)

// CountTextTokens returns the estimated number of tokens of text.
func CountTextTokens(text string) int {
	return (len(text) + BytesPerToken - 1) / BytesPerToken
}

// CountMessageTokens returns the estimated number of tokens of message.
func CountMessageTokens(message Message) int {
	return CountTextTokens(message.Role) + CountTextTokens(message.Content) + MessageOverheadInTokens
}

// CountTokens returns the estimated number of tokens of a prompt. Budgets reserve this number,
// and engine emulators report it. For other engines, Usage corrects the reservation.
func CountTokens(messages []Message) int {
	total := 0
	for _, message := range messages {
		total += CountMessageTokens(message)
	}
	return total
}
