package org.geraniumstand.decisions.limits;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.time.Duration;
import java.util.List;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.limits.Grant;
import org.geraniumstand.model.time.Moment;
import org.junit.jupiter.api.Test;

final class GrantBookTest {
    private static final ServerId SERVER = new ServerId("s");
    private static final Moment START = new Moment(0, 0);
    private static final Moment PAUSED = START.plus(Duration.ofMillis(600));
    private static final Moment EXPIRED = START.plus(Duration.ofMillis(GrantLedger.VALID_MILLIS));

    private final GrantBook book = new GrantBook();

    @Test
    void holdsNothingUnasked() {
        assertThat(book.concurrency(SERVER, START), equalTo(0));
    }

    @Test
    void keepsToTheFloorOfAWarmServerAfterTheGrant() {
        book.onGrants(List.of(grant(true)), START);

        assertThat(book.concurrency(SERVER, START), equalTo(5));
        assertThat(book.concurrency(SERVER, EXPIRED), equalTo(GrantBook.FLOOR));
    }

    @Test
    void usesNothingOfAColdServerAfterTheGrant() {
        book.onGrants(List.of(grant(false)), START);

        assertThat(book.concurrency(SERVER, EXPIRED), equalTo(0));
    }

    @Test
    void dropsGrantsAfterAPauseAndTrustsNoneThatWaitedMeanwhile() {
        book.onTime(START);
        book.onGrants(List.of(grant(false)), START);
        book.onTime(PAUSED);
        book.onGrants(List.of(grant(false)), PAUSED);

        assertThat(book.concurrency(SERVER, PAUSED), equalTo(0));
    }

    @Test
    void dropsItsShareOfASuspectedServer() {
        book.onGrants(List.of(grant(true)), START);

        book.drop(SERVER, START);

        assertThat(book.concurrency(SERVER, START), equalTo(0));
    }

    private static Grant grant(boolean warm) {
        return new Grant(SERVER, new ProcessId("p1"), 5, GrantLedger.VALID_MILLIS, warm);
    }
}
