package org.geraniumstand.peer.codec;

import java.util.List;
import org.geraniumstand.decisions.orders.Claim;
import org.geraniumstand.decisions.orders.ClaimChange;
import org.geraniumstand.decisions.orders.ClaimResult;
import org.geraniumstand.decisions.orders.ClaimState;
import org.geraniumstand.decisions.orders.RecordedAnswer;
import org.geraniumstand.model.id.ProcessId;

/** Writes and reads the parts of messages about orders. */
final class OrderRecords {
    // The position stands for the value on the wire.
    private static final List<ClaimState> STATES =
            List.of(ClaimState.CLAIMED, ClaimState.ANSWERED, ClaimState.NOT_RUN, ClaimState.UNKNOWN);
    private static final List<ClaimChange.Kind> WISHES = List.of(
            ClaimChange.Kind.OPEN, ClaimChange.Kind.ANSWERED, ClaimChange.Kind.NOT_RUN, ClaimChange.Kind.UNKNOWN);
    private static final List<ClaimResult.Kind> VERDICTS = List.of(
            ClaimResult.Kind.GRANTED,
            ClaimResult.Kind.REPLAY,
            ClaimResult.Kind.IN_FLIGHT,
            ClaimResult.Kind.UNKNOWN,
            ClaimResult.Kind.KEY_REUSED,
            ClaimResult.Kind.GIVEN_UP,
            ClaimResult.Kind.SETTLED,
            ClaimResult.Kind.FULL,
            ClaimResult.Kind.UNAVAILABLE);

    private OrderRecords() {}

    static void writeChange(FieldWriter out, ClaimChange change) {
        out.fields(6)
                .number(WISHES.indexOf(change.kind()))
                .text(change.key())
                .text(change.fingerprint())
                .text(change.token())
                .text(change.holder().value());
        writeAnswer(out, change.answer());
    }

    static ClaimChange readChange(FieldReader in) {
        return new ClaimChange(
                pick(WISHES, in.smallNumber()),
                in.text(),
                in.text(),
                in.text(),
                new ProcessId(in.text()),
                in.record(OrderRecords::readAnswer));
    }

    static void writeVerdict(FieldWriter out, ClaimResult verdict) {
        out.fields(2)
                .number(VERDICTS.indexOf(verdict.kind()))
                .list(verdict.claim().stream().toList(), OrderRecords::writeClaim);
    }

    static ClaimResult readVerdict(FieldReader in) {
        ClaimResult.Kind kind = pick(VERDICTS, in.smallNumber());
        return new ClaimResult(kind, in.list(OrderRecords::readClaim).stream().findFirst());
    }

    private static void writeClaim(FieldWriter out, Claim claim) {
        out.fields(7)
                .text(claim.key())
                .text(claim.fingerprint())
                .number(STATES.indexOf(claim.state()))
                .text(claim.token())
                .text(claim.holder().value())
                .number(claim.atEpochMillis());
        writeAnswer(out, claim.answer());
    }

    private static Claim readClaim(FieldReader in) {
        return new Claim(
                in.text(),
                in.text(),
                pick(STATES, in.smallNumber()),
                in.text(),
                new ProcessId(in.text()),
                in.number(),
                in.record(OrderRecords::readAnswer));
    }

    private static void writeAnswer(FieldWriter out, RecordedAnswer answer) {
        out.fields(5)
                .number(answer.status())
                .text(answer.contentType())
                .text(answer.body())
                .text(answer.digest())
                .flag(answer.kept());
    }

    private static RecordedAnswer readAnswer(FieldReader in) {
        return new RecordedAnswer(in.smallNumber(), in.text(), in.text(), in.text(), in.flag());
    }

    private static <T> T pick(List<T> values, int position) {
        if (position < 0 || position >= values.size()) {
            throw new MalformedMessageException("a value is unknown");
        }
        return values.get(position);
    }
}
