package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemarywing/rosemarywing/pkg/upstream"
)

const (
	headerRequestID = "X-Request-Id"
	// crashExitCode is the exit code of a crash that a request has caused.
	crashExitCode = 3
	// maxBodyBytes limits the size of a request body.
	maxBodyBytes = 64 << 20
	// defaultOutputTokens is the output length of a request without max_tokens.
	defaultOutputTokens = 16
)

type chatRequest struct {
	Model               string             `json:"model"`
	Messages            []upstream.Message `json:"messages"`
	MaxTokens           int                `json:"max_tokens"`
	MaxCompletionTokens int                `json:"max_completion_tokens"`
	Stream              bool               `json:"stream"`
}

func (r chatRequest) outputTokens() int {
	if r.MaxTokens > 0 {
		return r.MaxTokens
	}
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}
	return defaultOutputTokens
}

// Handler returns the HTTP interface of the engine. Paths below /admin let tests read
// the log and set faults.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.handleChat)
	mux.HandleFunc("GET /v1/models", e.handleModels)
	mux.HandleFunc("GET /v1/streams/{request}", e.handleResume)
	mux.HandleFunc("DELETE /v1/streams/{request}", e.handleCancel)
	mux.HandleFunc("GET /v1/answers/{request}", e.handleFetchAnswer)
	mux.HandleFunc("GET /load", e.handleLoad)
	mux.HandleFunc("GET /cache-events", e.handleCacheEvents)
	mux.HandleFunc("POST /orders", e.handleOrder)
	mux.HandleFunc("GET /kv/{request}", e.handleExportKV)
	mux.HandleFunc("PUT /kv/{request}", e.handleImportKV)
	mux.HandleFunc("GET /admin/log", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Log()) })
	mux.HandleFunc("GET /admin/faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.currentFaults()) })
	mux.HandleFunc("PUT /admin/faults", e.handleFaults)
	return mux
}

func (e *Engine) handleChat(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerRequestID)
	if id == "" {
		http.Error(w, "the header X-Request-Id is missing", http.StatusBadRequest)
		return
	}
	e.recordReceipt(id)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.recordFingerprint(id, strconv.FormatUint(xxhash.Sum64(body), 16))
	var request chatRequest
	if err := json.Unmarshal(body, &request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.servesModel(request.Model) {
		http.Error(w, "the model is not loaded", http.StatusNotFound)
		return
	}
	s := e.submit(id, request, body)
	faults := e.currentFaults()
	if containsMarker(body, faults.ResetMarker) {
		resetConnection(w)
		return
	}
	if !e.waitDelay(r, faults) {
		return
	}
	if request.Stream {
		e.writeStream(w, r, s, 1)
		return
	}
	e.writeCompletion(w, r, s)
}

// servesModel reports whether the engine answers requests for a model: one that is
// loaded, or any if the engine has no list of models. The name may include the version.
func (e *Engine) servesModel(model string) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, version := range e.models {
		name, _, _ := strings.Cut(version, "@")
		if version == model || name == model {
			return true
		}
	}
	return len(e.models) == 0
}

// waitDelay waits for the injected delay. It returns false if the client has
// disconnected.
func (e *Engine) waitDelay(r *http.Request, faults Faults) bool {
	if faults.DelayMs == 0 {
		return true
	}
	select {
	case <-r.Context().Done():
		return false
	case <-e.clock.After(time.Duration(faults.DelayMs) * time.Millisecond):
		return true
	}
}

// resetConnection closes the connection with a TCP reset, without an answer.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// responseID returns the request ID to send in the answer.
func (e *Engine) responseID(s *stream) string {
	if replacement := e.currentFaults().WrongRequestID; replacement != "" {
		return replacement
	}
	return s.id
}

// writeStream sends the events from a sequence number to the end of the stream, as
// they are produced. The request keeps running if the connection ends.
func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, s *stream, from int) {
	id := e.responseID(s)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(headerRequestID, id)
	w.WriteHeader(http.StatusOK)
	writer := eventWriter{engine: e, w: w, s: s, id: id, cutAfter: e.nextCut(), faults: e.currentFaults()}
	for sequence := from; ; {
		writer.flush()
		produced, state, changed := e.snapshot(s)
		for ; sequence <= produced; sequence++ {
			writer.write(sequence, s.chunkData(sequence))
		}
		if state == Finished {
			writer.write(sequence, []byte("[DONE]"))
			return
		}
		if state == Cancelled {
			writer.flush()
			panic(http.ErrAbortHandler)
		}
		writer.flush()
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		}
	}
}

// eventWriter writes the events of one streamed answer and injects faults.
type eventWriter struct {
	engine   *Engine
	w        http.ResponseWriter
	s        *stream
	id       string
	faults   Faults
	cutAfter int
	written  int
}

func (w *eventWriter) write(sequence int, data []byte) {
	if w.cutAfter > 0 && w.written >= w.cutAfter {
		w.flush()
		panic(http.ErrAbortHandler)
	}
	w.written++
	if w.faults.SkipEvery > 0 && sequence%w.faults.SkipEvery == 0 {
		return
	}
	event := fmt.Appendf(nil, "id: %s/%s/%d\ndata: %s\n\n", w.engine.config.Name, w.id, sequence, data)
	_, _ = w.w.Write(event)
	if w.faults.DuplicateEvery > 0 && sequence%w.faults.DuplicateEvery == 0 {
		_, _ = w.w.Write(event)
	}
}

func (w *eventWriter) flush() { _ = http.NewResponseController(w.w).Flush() }

// snapshot returns the progress of a stream and the channel that is closed at its
// next change.
func (e *Engine) snapshot(s *stream) (produced int, state State, changed <-chan struct{}) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return s.produced, s.state, s.changed
}

// TokenText returns the text of an output token. It contains the request ID and the
// sequence number, so that clients can check that an answer belongs to its request.
func TokenText(requestID string, sequence int) string {
	return fmt.Sprintf("%s:%d ", requestID, sequence)
}

type usage struct {
	PromptTokens        int            `json:"prompt_tokens"`
	CompletionTokens    int            `json:"completion_tokens"`
	TotalTokens         int            `json:"total_tokens"`
	PromptTokensDetails map[string]int `json:"prompt_tokens_details"`
}

func (s *stream) usage() *usage {
	return &usage{
		PromptTokens:        s.promptTokens,
		CompletionTokens:    s.outputTokens,
		TotalTokens:         s.promptTokens + s.outputTokens,
		PromptTokensDetails: map[string]int{"cached_tokens": s.cachedTokens},
	}
}

type choice struct {
	Index        int               `json:"index"`
	Delta        *upstream.Message `json:"delta,omitempty"`
	Message      *upstream.Message `json:"message,omitempty"`
	FinishReason *string           `json:"finish_reason"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// finishReasonLength is the finish reason of an output that reached max_tokens.
var finishReasonLength = "length"

// chunkData returns the data of the event with one output token. That of the last
// token also contains the finish reason and the usage.
func (s *stream) chunkData(sequence int) []byte {
	delta := upstream.Message{Role: "assistant", Content: TokenText(s.id, sequence)}
	chunk := completion{ID: s.id, Object: "chat.completion.chunk", Model: s.model}
	chunk.Choices = []choice{{Delta: &delta}}
	if sequence == s.outputTokens {
		chunk.Choices[0].FinishReason = &finishReasonLength
		chunk.Usage = s.usage()
	}
	data, _ := json.Marshal(chunk)
	return data
}

// completionData returns the body of an answer that is not streamed.
func (s *stream) completionData() []byte {
	var text strings.Builder
	for sequence := 1; sequence <= s.outputTokens; sequence++ {
		text.WriteString(TokenText(s.id, sequence))
	}
	message := upstream.Message{Role: "assistant", Content: text.String()}
	response := completion{ID: s.id, Object: "chat.completion", Model: s.model, Usage: s.usage()}
	response.Choices = []choice{{Message: &message, FinishReason: &finishReasonLength}}
	data, _ := json.Marshal(response)
	return data
}

// writeCompletion waits until a request has finished and sends the complete answer.
func (e *Engine) writeCompletion(w http.ResponseWriter, r *http.Request, s *stream) {
	for {
		_, state, changed := e.snapshot(s)
		if state == Finished {
			break
		}
		if state == Cancelled {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		}
	}
	data := s.completionData()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.Header().Set(headerRequestID, e.responseID(s))
	if e.nextCut() > 0 {
		_, _ = w.Write(data[:len(data)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(data)
}

func (e *Engine) handleModels(w http.ResponseWriter, _ *http.Request) {
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	models := []model{}
	for _, name := range e.loadedModels() {
		models = append(models, model{ID: name, Object: "model"})
	}
	writeJSON(w, map[string]any{"object": "list", "data": models})
}

func (e *Engine) loadedModels() []string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.currentLoad(e.clock.Now()).LoadedModels
}

// streamFromPath returns the stream whose request ID is in the path. If there is none,
// it answers 404 and returns nil. It answers 410 for a cancelled request, so that
// clients do not retry.
func (e *Engine) streamFromPath(w http.ResponseWriter, r *http.Request) *stream {
	w.Header().Set(headerRequestID, r.PathValue("request"))
	s := e.findStream(r.PathValue("request"))
	if s == nil {
		http.Error(w, "unknown request", http.StatusNotFound)
		return nil
	}
	if _, state, _ := e.snapshot(s); state == Cancelled {
		http.Error(w, "the request was cancelled", http.StatusGone)
		return nil
	}
	return s
}

// handleResume replays a stream from the event number in the parameter "from".
func (e *Engine) handleResume(w http.ResponseWriter, r *http.Request) {
	from := 1
	if value := r.URL.Query().Get("from"); value != "" {
		number, err := strconv.Atoi(value)
		if err != nil || number < 1 {
			http.Error(w, "from must be a positive number", http.StatusBadRequest)
			return
		}
		from = number
	}
	s := e.streamFromPath(w, r)
	if s == nil {
		return
	}
	if from > s.outputTokens+1 {
		http.Error(w, "from is beyond the end of the stream", http.StatusBadRequest)
		return
	}
	e.writeStream(w, r, s, from)
}

// handleFetchAnswer sends the complete answer of a request again.
func (e *Engine) handleFetchAnswer(w http.ResponseWriter, r *http.Request) {
	if s := e.streamFromPath(w, r); s != nil {
		e.writeCompletion(w, r, s)
	}
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerRequestID, r.PathValue("request"))
	if !e.cancel(r.PathValue("request")) {
		http.Error(w, "unknown request", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
