package entry

import (
	"encoding/json"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemarywing/rosemarywing/pkg/upstream"
)

const (
	// bytesPerToken is the usual estimate of the bytes of text per token.
	bytesPerToken = 4
	// maxPrefixHashes limits the prefix hashes of one request. Powers of two up
	// to 2^10 blocks and the last whole block cover prompts of 256 KiB.
	maxPrefixHashes = 12
	// initialOutputTokens is the output estimate of a model before its first
	// answer.
	initialOutputTokens = 256
	// newestAnswerWeight is the weight of the newest answer in the moving
	// average of output tokens.
	newestAnswerWeight = 0.1
)

// prefixHashes returns the hashes of the first 1, 2, 4, ... blocks of the
// prompt and of all whole blocks, and the lengths of these prefixes in tokens.
// The hashes match those in the engines' cache events. Above maxPrefixHashes,
// the longest prefixes are kept.
func prefixHashes(prompt []byte) (hashes []uint64, tokens []int) {
	blocks := upstream.PrefixHashes(prompt)
	for i, hash := range blocks {
		block := i + 1
		if block&(block-1) == 0 || block == len(blocks) {
			hashes = append(hashes, hash)
			tokens = append(tokens, block*upstream.PrefixBlockBytes/bytesPerToken)
		}
	}
	if extra := len(hashes) - maxPrefixHashes; extra > 0 {
		return hashes[extra:], tokens[extra:]
	}
	return hashes, tokens
}

// fingerprint returns a hash of the request's content, so that requests with
// different IDs and the same content are recognized.
func fingerprint(method, path string, body []byte) uint64 {
	digest := xxhash.New()
	for _, part := range [][]byte{[]byte(method), {0}, []byte(path), {0}, body} {
		_, _ = digest.Write(part)
	}
	return digest.Sum64()
}

// promptText concatenates the messages of a chat completion, each as role,
// newline, content, newline. Content in several parts is used as its JSON text.
func promptText(messages []chatMessage) []byte {
	var text []byte
	for _, message := range messages {
		text = append(text, message.Role...)
		text = append(text, '\n')
		var content string
		if json.Unmarshal(message.Content, &content) == nil {
			text = append(text, content...)
		} else {
			text = append(text, message.Content...)
		}
		text = append(text, '\n')
	}
	return text
}

// outputAverages holds a moving average of output tokens for each model.
type outputAverages struct {
	mu      sync.Mutex
	byModel map[string]float64
}

func (a *outputAverages) get(model string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if average, ok := a.byModel[model]; ok {
		return int(average)
	}
	return initialOutputTokens
}

func (a *outputAverages) add(model string, tokens int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byModel == nil {
		a.byModel = map[string]float64{}
	}
	average, ok := a.byModel[model]
	if !ok {
		average = initialOutputTokens
	}
	a.byModel[model] = average + newestAnswerWeight*(float64(tokens)-average)
}
