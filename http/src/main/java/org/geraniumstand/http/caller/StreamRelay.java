package org.geraniumstand.http.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumstand.http.filter.Completion;
import org.geraniumstand.http.upstream.AnswerHead;
import org.geraniumstand.http.upstream.EventStreamParser;
import org.geraniumstand.http.upstream.FlowControl;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.model.request.Refusal;
import org.geraniumstand.model.request.RefusalReason;
import org.geraniumstand.support.json.Json;
import org.geraniumstand.support.net.HttpBody;

/**
 * Relays a stream of completion events; if an attempt breaks, the next one resumes after the last relayed token.
 *
 * <p>An engine can be told only of text that was generated so far, so a stream of which anything else was relayed, such as
 * a tool call, is broken off instead.
 */
final class StreamRelay implements Relay {
    /** Maximum number of characters of events that are stored for a caller that reconnects. */
    static final int HISTORY_CHARACTERS = 32 * 1024;

    private static final Set<String> TEXT_FIELDS = Set.of("role", "content");
    private static final String DONE = "[DONE]";
    private static final String LENGTH_REACHED =
            "{\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"length\"}]}";
    private static final String EVENT_STREAM = "text/event-stream";
    private static final int OK = 200;

    private final Completion completion;
    private final EventSink sink;
    private final boolean usageDue;
    private final Optional<AnswerRelay> errorRelay;
    private final EventHistory history = new EventHistory(HISTORY_CHARACTERS);
    private final StringBuilder generated = new StringBuilder();
    private EventStreamParser parser = new EventStreamParser(this::onEvent);
    private boolean eventStream;
    private boolean errorStatus;
    private boolean resumed;
    private boolean finishReasonSeen;
    private boolean usageSeen;
    private boolean doneSent;
    private boolean positionKnown = true;
    private int tokens;
    private int cachedTokens = -1;

    /** Creates a relay; the answer relay, if given, relays an error answer as long as no event was sent. */
    StreamRelay(Completion completion, EventSink sink, Optional<AnswerRelay> errorRelay) {
        this.completion = completion;
        this.sink = sink;
        this.errorRelay = errorRelay;
        this.usageDue = completion
                .document()
                .path("stream_options")
                .path("include_usage")
                .asBoolean(false);
    }

    /** Restores the state of a stream that another process relayed so far. */
    void restore(StreamSnapshot snapshot) {
        history.restore(snapshot.recentEvents(), snapshot.lastEventId());
        generated.append(snapshot.generated());
        tokens = snapshot.tokens();
    }

    /** Returns the data of the most recent events. */
    List<String> recentEvents() {
        return history.all();
    }

    /** Returns the id of the last event that was relayed. */
    int lastEventId() {
        return history.lastId();
    }

    /** Returns the text generated so far. */
    String generated() {
        return generated.toString();
    }

    /** Sends the queued events and closes the caller's connection. */
    void endForHandover() {
        sink.endForHandover();
    }

    @Override
    public HttpBody bodyFor(HttpBody original) {
        parser = new EventStreamParser(this::onEvent);
        eventStream = false;
        errorStatus = false;
        resumed = history.lastId() > 0;
        errorRelay.ifPresent(errorAnswer -> errorAnswer.bodyFor(original));
        if (tokens == 0) {
            return original;
        }
        ObjectNode body = completion.document().deepCopy();
        ArrayNode messages = (ArrayNode) body.path("messages");
        messages.addObject().put("role", "assistant").put("content", generated.toString());
        body.put("continue_final_message", true);
        body.put("add_generation_prompt", false);
        body.put("max_tokens", completion.maxTokens() - tokens);
        return HttpBody.of(body.toString());
    }

    @Override
    public void setUpstream(FlowControl flow) {
        sink.setUpstream(flow);
        errorRelay.ifPresent(errorAnswer -> errorAnswer.setUpstream(flow));
    }

    @Override
    public void onHead(AnswerHead head) {
        eventStream = head.status() == OK
                && head.contentType().map(type -> type.startsWith(EVENT_STREAM)).orElse(false);
        errorStatus = head.status() != OK;
        if (errorStatus) {
            errorRelay.ifPresent(errorAnswer -> errorAnswer.onHead(head));
        }
    }

    @Override
    public void onBytes(ByteBuffer bytes) {
        if (eventStream) {
            parser.accept(bytes);
        } else if (errorStatus && !resumed) {
            errorRelay.ifPresent(errorAnswer -> errorAnswer.onBytes(bytes));
        }
    }

    @Override
    public boolean tooLarge() {
        return eventStream && parser.tooLarge();
    }

    @Override
    public AttemptEnd classify(AttemptEnd end) {
        if (eventStream) {
            return end == AttemptEnd.ANSWERED && !doneSent ? AttemptEnd.BROKEN : end;
        }
        errorRelay.ifPresent(errorAnswer -> errorAnswer.classify(end));
        if (end != AttemptEnd.ANSWERED) {
            return end;
        }
        return errorStatus && !resumed && errorRelay.isPresent() ? AttemptEnd.ANSWERED : AttemptEnd.SERVER_ERROR;
    }

    @Override
    public boolean contentComplete() {
        return generationEnded() && completion.document().path("n").asInt(1) == 1 && (usageSeen || !usageDue);
    }

    /** Returns whether a first choice has ended; others, or the usage, may still be due. */
    private boolean generationEnded() {
        return finishReasonSeen || tokens >= completion.maxTokens();
    }

    /** Returns whether no other engine can go on with the stream, although its content is not complete. */
    private boolean cannotContinue() {
        return !doneSent && !contentComplete() && (!positionKnown || generationEnded());
    }

    @Override
    public boolean committed() {
        return cannotContinue() || errorRelay.map(AnswerRelay::committed).orElse(false);
    }

    @Override
    public int tokens() {
        return tokens;
    }

    @Override
    public int cachedTokens() {
        return cachedTokens;
    }

    @Override
    public void finish() {
        if (errorStatus && !resumed && !doneSent && !contentComplete()) {
            errorRelay.ifPresent(AnswerRelay::finish);
            return;
        }
        if (cannotContinue()) {
            sink.refuse(Refusal.unknown(RefusalReason.SERVER_FAILED));
            return;
        }
        if (!doneSent) {
            doneSent = true;
            if (!finishReasonSeen) {
                send(LENGTH_REACHED);
            }
            send(DONE);
        }
        sink.end();
    }

    @Override
    public void refuse(Refusal refusal) {
        if (contentComplete()) {
            finish();
        } else if (errorStatus && !resumed && errorRelay.isPresent()) {
            errorRelay.get().refuse(refusal);
        } else {
            sink.refuse(refusal);
        }
    }

    @Override
    public void onCallerDisconnected() {
        sink.onCallerDisconnected();
        errorRelay.ifPresent(AnswerRelay::onCallerDisconnected);
    }

    private void onEvent(String data) {
        if (doneSent) {
            return;
        }
        if (data.equals(DONE)) {
            doneSent = true;
            send(data);
            return;
        }
        JsonNode event = parse(data);
        JsonNode choice = event.path("choices").path(0);
        String content = choice.path("delta").path("content").asText("");
        boolean hasFinishReason = choice.path("finish_reason").isTextual();
        JsonNode usage = event.path("usage");
        if (!content.isEmpty()) {
            generated.append(content);
            tokens++;
        }
        finishReasonSeen |= hasFinishReason;
        usageSeen |= usage.isObject();
        cachedTokens = usage.path("prompt_tokens_details").path("cached_tokens").asInt(cachedTokens);
        boolean resumable = holdsOnlyText(event.path("choices"));
        positionKnown &= resumable;
        boolean openingEvent = resumable && content.isEmpty() && !hasFinishReason && !usage.isObject();
        if (!(resumed && openingEvent)) {
            send(data);
        }
    }

    private void send(String data) {
        sink.event(history.add(data), data);
    }

    /** Returns whether choices are only the first one, and its delta holds nothing but the role and text. */
    private static boolean holdsOnlyText(JsonNode choices) {
        for (JsonNode choice : choices) {
            JsonNode content = choice.path("delta").path("content");
            if (choice.path("index").asInt(0) != 0 || !(isEmpty(content) || content.isTextual())) {
                return false;
            }
            for (Map.Entry<String, JsonNode> field : choice.path("delta").properties()) {
                if (!TEXT_FIELDS.contains(field.getKey()) && !isEmpty(field.getValue())) {
                    return false;
                }
            }
        }
        return true;
    }

    private static boolean isEmpty(JsonNode node) {
        return node.isMissingNode()
                || node.isNull()
                || (node.isTextual() && node.textValue().isEmpty())
                || (node.isContainerNode() && node.isEmpty());
    }

    private static JsonNode parse(String data) {
        try {
            return Json.LENIENT.readTree(data);
        } catch (JsonProcessingException _e) {
            return Json.LENIENT.missingNode();
        }
    }
}
