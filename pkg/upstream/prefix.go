package upstream

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlockBytes is the size of the blocks of prompt text for which prefix
// hashes are computed. Text beyond the last whole block has no hash.
const PrefixBlockBytes = 256

// BytesPerToken is the estimated number of prompt bytes per token.
const BytesPerToken = 4

// Message is one message of a chat completion.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// PromptText joins messages into the text over which prefix hashes are computed.
func PromptText(messages []Message) []byte {
	size := 0
	for _, message := range messages {
		size += len(message.Role) + len(message.Content) + 2
	}
	text := make([]byte, 0, size)
	for _, message := range messages {
		text = append(text, message.Role...)
		text = append(text, '\n')
		text = append(text, message.Content...)
		text = append(text, '\n')
	}
	return text
}

// PrefixHashes returns one hash for each whole block of text. Each hash covers
// all text up to the end of its block: it is the hash of the previous block's
// hash followed by the block.
func PrefixHashes(text []byte) []uint64 {
	hashes := make([]uint64, 0, len(text)/PrefixBlockBytes)
	var block [8 + PrefixBlockBytes]byte
	var previous uint64
	for len(text) >= PrefixBlockBytes {
		binary.LittleEndian.PutUint64(block[:8], previous)
		copy(block[8:], text[:PrefixBlockBytes])
		previous = xxhash.Sum64(block[:])
		hashes = append(hashes, previous)
		text = text[PrefixBlockBytes:]
	}
	return hashes
}
