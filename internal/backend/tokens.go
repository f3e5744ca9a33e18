package backend

// The tokens that a text is reckoned as. Engines of today take about four bytes
// a token; a message costs a few tokens for its role and its ends.
const (
	BytesPerToken           = 4
	MessageOverheadInTokens = 4
)

// CountTextTokens returns the tokens that text is reckoned as.
func CountTextTokens(text string) int {
	return (len(text) + BytesPerToken - 1) / BytesPerToken
}

// CountMessageTokens returns the tokens that message is reckoned as.
func CountMessageTokens(message Message) int {
	return CountTextTokens(message.Role) + CountTextTokens(message.Content) + MessageOverheadInTokens
}

// CountTokens returns the tokens that a prompt is reckoned as. Budgets reserve by
// it and the stand-in engines count by it, so that both agree; a real engine's
// Usage settles the difference.
func CountTokens(messages []Message) int {
	total := 0
	for _, message := range messages {
		total += CountMessageTokens(message)
	}
	return total
}
