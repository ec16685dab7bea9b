package org.geraniumstand.http.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import org.geraniumstand.http.filter.Completion;
import org.geraniumstand.http.upstream.AnswerHead;
import org.geraniumstand.http.upstream.EventStream;
import org.geraniumstand.http.upstream.Flow;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.model.request.Refusal;
import org.geraniumstand.support.json.Json;
import org.geraniumstand.support.net.HttpBody;

/** Relays a stream of completion events; after a break the next attempt goes on from the last relayed token. */
final class StreamRelay implements Relay {
    /** Largest number of characters of events that are kept for a caller that reconnects. */
    static final int HISTORY_CHARACTERS = 32 * 1024;

    private static final String DONE = "[DONE]";
    private static final String LENGTH_REACHED =
            "{\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"length\"}]}";
    private static final String EVENT_STREAM = "text/event-stream";
    private static final int OK = 200;

    private final Completion completion;
    private final EventSink sink;
    private final Optional<AnswerRelay> ownAnswer;
    private final EventHistory history = new EventHistory(HISTORY_CHARACTERS);
    private final StringBuilder generated = new StringBuilder();
    private EventStream events = new EventStream(this::onEvent);
    private boolean streams;
    private boolean failedHead;
    private boolean resumed;
    private boolean finished;
    private boolean whole;
    private int tokens;
    private int cachedTokens = -1;

    /** Creates a relay; the answer relay passes on a head that is no stream while no event is out. */
    StreamRelay(Completion completion, EventSink sink, Optional<AnswerRelay> ownAnswer) {
        this.completion = completion;
        this.sink = sink;
        this.ownAnswer = ownAnswer;
    }

    /** Goes on where another process stopped. */
    void restore(StreamSnapshot snapshot) {
        history.restore(snapshot.recentEvents(), snapshot.lastEventId());
        generated.append(snapshot.generated());
        tokens = snapshot.tokens();
    }

    /** Returns the data of the latest events. */
    List<String> recentEvents() {
        return history.all();
    }

    /** Returns the id of the last event. */
    int lastEventId() {
        return history.lastId();
    }

    /** Returns the text generated so far. */
    String generated() {
        return generated.toString();
    }

    /** Lets the caller have what is out and then cuts its connection. */
    void moveAway() {
        sink.moveAway();
    }

    @Override
    public HttpBody bodyFor(HttpBody original) {
        events = new EventStream(this::onEvent);
        streams = false;
        failedHead = false;
        resumed = history.lastId() > 0;
        ownAnswer.ifPresent(own -> own.bodyFor(original));
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
    public void hold(Flow flow) {
        sink.hold(flow);
        ownAnswer.ifPresent(own -> own.hold(flow));
    }

    @Override
    public void onHead(AnswerHead head) {
        streams = head.status() == OK
                && head.contentType().map(type -> type.startsWith(EVENT_STREAM)).orElse(false);
        failedHead = head.status() != OK;
        if (failedHead) {
            ownAnswer.ifPresent(own -> own.onHead(head));
        }
    }

    @Override
    public void onBytes(ByteBuffer bytes) {
        if (streams) {
            events.accept(bytes);
        } else if (failedHead && !resumed) {
            ownAnswer.ifPresent(own -> own.onBytes(bytes));
        }
    }

    @Override
    public AttemptEnd judge(AttemptEnd end) {
        if (streams) {
            return end == AttemptEnd.ANSWERED && !whole ? AttemptEnd.BROKEN : end;
        }
        ownAnswer.ifPresent(own -> own.judge(end));
        if (end != AttemptEnd.ANSWERED) {
            return end;
        }
        return failedHead && !resumed && ownAnswer.isPresent() ? AttemptEnd.ANSWERED : AttemptEnd.SERVER_ERROR;
    }

    @Override
    public boolean nothingLeft() {
        return finished || tokens >= completion.maxTokens();
    }

    @Override
    public boolean committed() {
        return ownAnswer.map(AnswerRelay::committed).orElse(false);
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
        if (failedHead && !resumed && !whole && !nothingLeft()) {
            ownAnswer.ifPresent(AnswerRelay::finish);
            return;
        }
        if (!whole) {
            whole = true;
            if (!finished) {
                send(LENGTH_REACHED);
            }
            send(DONE);
        }
        sink.end();
    }

    @Override
    public void refuse(Refusal refusal) {
        if (nothingLeft()) {
            finish();
        } else if (failedHead && !resumed && ownAnswer.isPresent()) {
            ownAnswer.get().refuse(refusal);
        } else {
            sink.refuse(refusal);
        }
    }

    @Override
    public void onCallerLeft() {
        sink.onCallerLeft();
        ownAnswer.ifPresent(AnswerRelay::onCallerLeft);
    }

    private void onEvent(String data) {
        if (whole) {
            return;
        }
        if (data.equals(DONE)) {
            whole = true;
            send(data);
            return;
        }
        JsonNode event = parse(data);
        JsonNode choice = event.path("choices").path(0);
        String content = choice.path("delta").path("content").asText("");
        boolean finish = choice.path("finish_reason").isTextual();
        JsonNode usage = event.path("usage");
        if (!content.isEmpty()) {
            generated.append(content);
            tokens++;
        }
        finished |= finish;
        cachedTokens = usage.path("prompt_tokens_details").path("cached_tokens").asInt(cachedTokens);
        boolean opening = content.isEmpty() && !finish && !usage.isObject();
        if (!(resumed && opening)) {
            send(data);
        }
    }

    private void send(String data) {
        sink.event(history.add(data), data);
    }

    private static JsonNode parse(String data) {
        try {
            return Json.LENIENT.readTree(data);
        } catch (JsonProcessingException _e) {
            return Json.LENIENT.missingNode();
        }
    }
}
