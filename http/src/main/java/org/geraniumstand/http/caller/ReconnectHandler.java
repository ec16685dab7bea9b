package org.geraniumstand.http.caller;

import io.undertow.server.HttpServerExchange;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import org.geraniumstand.decisions.Action.AttemptLimits;
import org.geraniumstand.http.AnswerFraming;
import org.geraniumstand.http.filter.Admission;
import org.geraniumstand.http.filter.CallerRequest;
import org.geraniumstand.http.upstream.AnswerHead;
import org.geraniumstand.http.upstream.Attempt;
import org.geraniumstand.http.upstream.AttemptListener;
import org.geraniumstand.http.upstream.AttemptSpec;
import org.geraniumstand.http.upstream.UpstreamClient;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.model.request.Refusal;
import org.geraniumstand.model.request.RefusalReason;
import org.geraniumstand.support.net.HttpBody;
import org.geraniumstand.support.net.HttpRequest.Header;

/** Serves callers that reconnect to a handed-over stream, which this process or another one holds. */
final class ReconnectHandler {
    private static final long RESPONSE_TIMEOUT_MILLIS = 30_000;
    private static final AttemptLimits LIMITS =
            new AttemptLimits(RESPONSE_TIMEOUT_MILLIS, RESPONSE_TIMEOUT_MILLIS, true);

    private final ProcessId self;
    private final HeldStreams heldStreams;
    private final HolderLookup lookup;
    private final UpstreamClient upstream;

    ReconnectHandler(ProcessId self, HeldStreams heldStreams, HolderLookup lookup, UpstreamClient upstream) {
        this.self = self;
        this.heldStreams = heldStreams;
        this.lookup = lookup;
        this.upstream = upstream;
    }

    void serve(HttpServerExchange exchange, Admission admission) {
        String team = admission.team().orElseThrow().id().value();
        String callerRequestId = admission.request().callerRequestId();
        Optional<HeldStream> local = heldStreams.find(team, callerRequestId);
        if (local.isPresent()) {
            int last = admission.lastEventId().orElseThrow();
            local.get().attach(exchange, callerRequestId, last, () -> refuse(exchange, callerRequestId));
        } else if (exchange.getRequestHeaders().contains(RequestReader.RELAYED_BY)) {
            refuse(exchange, callerRequestId);
        } else {
            lookup.find(
                    team,
                    callerRequestId,
                    holder -> exchange.getIoThread()
                            .execute(() -> holder.ifPresentOrElse(
                                    found -> relay(exchange, admission, found),
                                    () -> refuse(exchange, callerRequestId))));
        }
    }

    private void relay(HttpServerExchange exchange, Admission admission, HolderLookup.Holder holder) {
        CallerRequest request = admission.request();
        AttemptSpec spec = new AttemptSpec(
                holder.address(),
                holder.port(),
                "GET",
                request.target(),
                List.of(
                        new Header(
                                "Authorization",
                                "Bearer " + request.bearerToken().orElseThrow()),
                        new Header("Last-Event-ID", request.lastEventId().orElseThrow()),
                        new Header(RequestReader.RELAYED_BY.toString(), self.value())),
                request.callerRequestId(),
                HttpBody.EMPTY,
                LIMITS);
        AnswerRelay relay = new AnswerRelay(exchange, request.callerRequestId(), false);
        Attempt attempt = upstream.prepare(spec, exchange.getIoThread(), new AnswerListener(relay));
        relay.setUpstream(attempt);
        CallerWatch.start(exchange, () -> {
            relay.onCallerDisconnected();
            attempt.cancel();
        });
        attempt.start();
    }

    private static void refuse(HttpServerExchange exchange, String callerRequestId) {
        ProblemWriter.send(exchange, callerRequestId, Refusal.unknown(RefusalReason.STREAM_UNKNOWN), "");
    }

    /** Relays the answer of the process that holds the stream. */
    private static final class AnswerListener implements AttemptListener {
        private final AnswerRelay relay;
        private boolean endsWithConnection;

        AnswerListener(AnswerRelay relay) {
            this.relay = relay;
        }

        @Override
        public void onHead(AnswerHead head) {
            // Processes of this version send a length or chunks; the end of an older one's answer may be that of its
            // process.
            endsWithConnection = head.framing() == AnswerFraming.CONNECTION;
            relay.onHead(head);
        }

        @Override
        public void onBytes(ByteBuffer bytes) {
            relay.onBytes(bytes);
        }

        @Override
        public void onEnd(AttemptEnd end) {
            AttemptEnd classified = endsWithConnection && end == AttemptEnd.ANSWERED ? AttemptEnd.BROKEN : end;
            relay.classify(classified);
            if (classified == AttemptEnd.ANSWERED || relay.committed()) {
                relay.finish();
            } else {
                relay.refuse(Refusal.unknown(RefusalReason.STREAM_UNKNOWN));
            }
        }
    }
}
