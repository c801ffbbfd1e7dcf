package entry

import (
	"encoding/json"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemarywing/rosemarywing/pkg/upstream"
)

const (
	// bytesPerToken is the usual estimate for text.
	bytesPerToken = 4
	// maxHashes limits the prefix hashes of one request. Powers of two up to
	// 2^10 blocks and the end cover prompts of 256 KiB.
	maxPrefixHashes = 12
	// firstOutputTokens is the estimate of the output before the first answer.
	initialOutputTokens = 256
	// averageWeight is the weight of the newest answer in the running average.
	newestAnswerWeight = 0.1
)

// prefixHashes returns the hashes of growing prefixes of the prompt, of 1, 2,
// 4, ... blocks and of all whole blocks, and their lengths in tokens. They are
// the hashes of the engines' cache events. Of more than maxHashes the longest
// are kept.
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

// fingerprint identifies the content of a request without its identity.
func fingerprint(method, path string, body []byte) uint64 {
	digest := xxhash.New()
	for _, part := range [][]byte{[]byte(method), {0}, []byte(path), {0}, body} {
		_, _ = digest.Write(part)
	}
	return digest.Sum64()
}

// promptText joins the messages of a chat completion, each as role, newline,
// content, newline. A content of several parts is taken as its JSON.
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

// averages holds the running average of output tokens by model.
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
