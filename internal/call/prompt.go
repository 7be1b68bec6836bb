package call

// Prompt holds what a client states about the size of a request to an engine, in tokens. The zero value states nothing.
type Prompt struct {
	Parts  []PromptPart // from the start of the prompt on
	Tokens int          // prompt tokens; 0 if unknown
	Output int          // expected output tokens; 0 if unknown
}

// PromptPart is a part of a prompt, which other prompts may contain as well.
type PromptPart struct {
	ID     string
	Tokens int
}
