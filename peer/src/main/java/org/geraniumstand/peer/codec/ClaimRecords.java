package org.geraniumstand.peer.codec;

import java.util.List;
import org.geraniumstand.decisions.orders.Claim;
import org.geraniumstand.decisions.orders.ClaimChange;
import org.geraniumstand.decisions.orders.ClaimResult;
import org.geraniumstand.decisions.orders.ClaimState;
import org.geraniumstand.decisions.orders.RecordedAnswer;
import org.geraniumstand.model.id.ProcessId;

/** Encodes and decodes the records in messages about claims. */
final class ClaimRecords {
    // The list index encodes the value on the wire.
    private static final List<ClaimState> CLAIM_STATES =
            List.of(ClaimState.CLAIMED, ClaimState.ANSWERED, ClaimState.NOT_RUN, ClaimState.UNKNOWN);
    private static final List<ClaimChange.Kind> CHANGE_KINDS = List.of(
            ClaimChange.Kind.OPEN, ClaimChange.Kind.ANSWERED, ClaimChange.Kind.NOT_RUN, ClaimChange.Kind.UNKNOWN);
    private static final List<ClaimResult.Kind> RESULT_KINDS = List.of(
            ClaimResult.Kind.GRANTED,
            ClaimResult.Kind.REPLAY,
            ClaimResult.Kind.IN_FLIGHT,
            ClaimResult.Kind.UNKNOWN,
            ClaimResult.Kind.KEY_REUSED,
            ClaimResult.Kind.GIVEN_UP,
            ClaimResult.Kind.SETTLED,
            ClaimResult.Kind.FULL,
            ClaimResult.Kind.UNAVAILABLE);

    private ClaimRecords() {}

    static void writeChange(FieldWriter out, ClaimChange change) {
        out.fields(6)
                .number(CHANGE_KINDS.indexOf(change.kind()))
                .text(change.key())
                .text(change.fingerprint())
                .text(change.token())
                .text(change.holder().value());
        writeAnswer(out, change.answer());
    }

    static ClaimChange readChange(FieldReader in) {
        return new ClaimChange(
                valueAt(CHANGE_KINDS, in.smallNumber()),
                in.text(),
                in.text(),
                in.text(),
                new ProcessId(in.text()),
                in.record(ClaimRecords::readAnswer));
    }

    static void writeResult(FieldWriter out, ClaimResult result) {
        out.fields(2)
                .number(RESULT_KINDS.indexOf(result.kind()))
                .list(result.claim().stream().toList(), ClaimRecords::writeClaim);
    }

    static ClaimResult readResult(FieldReader in) {
        ClaimResult.Kind kind = valueAt(RESULT_KINDS, in.smallNumber());
        return new ClaimResult(kind, in.list(ClaimRecords::readClaim).stream().findFirst());
    }

    private static void writeClaim(FieldWriter out, Claim claim) {
        out.fields(7)
                .text(claim.key())
                .text(claim.fingerprint())
                .number(CLAIM_STATES.indexOf(claim.state()))
                .text(claim.token())
                .text(claim.holder().value())
                .number(claim.atEpochMillis());
        writeAnswer(out, claim.answer());
    }

    private static Claim readClaim(FieldReader in) {
        return new Claim(
                in.text(),
                in.text(),
                valueAt(CLAIM_STATES, in.smallNumber()),
                in.text(),
                new ProcessId(in.text()),
                in.number(),
                in.record(ClaimRecords::readAnswer));
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

    private static <T> T valueAt(List<T> values, int position) {
        if (position < 0 || position >= values.size()) {
            throw new MalformedMessageException("unknown enum value");
        }
        return values.get(position);
    }
}
