package org.geraniumstand.peer.codec;

import java.util.List;
import org.geraniumstand.decisions.orders.Claim;
import org.geraniumstand.decisions.orders.ClaimChange;
import org.geraniumstand.decisions.orders.ClaimState;
import org.geraniumstand.decisions.orders.ClaimVerdict;
import org.geraniumstand.decisions.orders.RecordedAnswer;
import org.geraniumstand.model.id.ProcessId;

/** Writes and reads the records of claims. */
final class Claims {
    private Claims() {}

    static void writeChange(FieldWriter out, ClaimChange change) {
        out.fields(6)
                .text(change.kind().name())
                .text(change.key())
                .text(change.fingerprint())
                .text(change.token())
                .text(change.holder().value())
                .list(List.of(change.answer()), Claims::writeAnswer);
    }

    static ClaimChange readChange(FieldReader in) {
        return new ClaimChange(
                ClaimChange.Kind.valueOf(in.text()),
                in.text(),
                in.text(),
                in.text(),
                new ProcessId(in.text()),
                only(in.list(Claims::readAnswer)));
    }

    static void writeClaim(FieldWriter out, Claim claim) {
        out.fields(7)
                .text(claim.key())
                .text(claim.fingerprint())
                .text(claim.state().name())
                .text(claim.token())
                .text(claim.holder().value())
                .number(claim.atEpochMillis())
                .list(List.of(claim.answer()), Claims::writeAnswer);
    }

    static Claim readClaim(FieldReader in) {
        return new Claim(
                in.text(),
                in.text(),
                ClaimState.valueOf(in.text()),
                in.text(),
                new ProcessId(in.text()),
                in.number(),
                only(in.list(Claims::readAnswer)));
    }

    static ClaimVerdict verdict(String kind, List<Claim> claim) {
        return new ClaimVerdict(ClaimVerdict.Kind.valueOf(kind), claim.stream().findFirst());
    }

    /** Returns the one element of a list. */
    static <T> T only(List<T> list) {
        if (list.size() != 1) {
            throw new MalformedMessageException("a record is missing or repeated");
        }
        return list.get(0);
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
}
