package org.geraniumstand.http.opaque;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.geraniumstand.model.relay.CallerHead;
import org.geraniumstand.model.relay.ServerCall;
import org.geraniumstand.model.relay.ServerHead;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.outside.relay.HeaderCodec;
import org.geraniumstand.outside.relay.HeaderView;
import org.geraniumstand.support.net.HttpRequest.Header;

/** A codec for tests that uses one header for each field. */
final class PlainHeaderCodec implements HeaderCodec {
    private final Runnable beforeSend;

    /** Creates a codec that runs a task on the I/O thread before each call is sent to a server. */
    PlainHeaderCodec(Runnable beforeSend) {
        this.beforeSend = beforeSend;
    }

    @Override
    public Result<CallerHead, String> parseCallerHead(HeaderView headers) {
        return Result.ok(new CallerHead(
                headers.first("attempt").orElse(""),
                headers.first("key"),
                headers.first("wait")
                        .map(text -> OptionalLong.of(Long.parseLong(text)))
                        .orElseGet(OptionalLong::empty),
                headers.first("after"),
                0,
                0,
                false,
                List.of()));
    }

    @Override
    public List<Header> serverHeaders(HeaderView caller, ServerCall call) {
        beforeSend.run();
        List<Header> headers = new ArrayList<>();
        headers.add(new Header("x-request-id", caller.first("attempt").orElse("")));
        headers.add(new Header("server", call.server().value()));
        call.team().ifPresent(team -> headers.add(new Header("team", team.value())));
        call.lastEventId().ifPresent(event -> headers.add(new Header("after", event)));
        return headers;
    }

    @Override
    public ServerHead parseServerHead(int _status, HeaderView headers) {
        return new ServerHead(
                headers.first("attempt"),
                headers.first("signed").isPresent(),
                headers.first("not-run").isPresent(),
                headers.first("other-server").isPresent(),
                Optional.empty(),
                OptionalInt.empty(),
                headers.first("leaving").isPresent(),
                headers.first("pause")
                        .map(millis -> OptionalLong.of(Long.parseLong(millis)))
                        .orElseGet(OptionalLong::empty),
                OptionalDouble.of(
                        headers.first("limit").map(Double::parseDouble).orElse(Double.POSITIVE_INFINITY)));
    }

    @Override
    public boolean isForCallers(String name) {
        return !name.equals("leaving") && !name.equals("limit");
    }

    @Override
    public List<Header> refusalHeaders(String _attempt, long retryAfterMillis) {
        return List.of(new Header("Retry-After", Long.toString(retryAfterMillis)));
    }
}
