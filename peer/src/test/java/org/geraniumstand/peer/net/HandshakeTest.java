package org.geraniumstand.peer.net;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.peer.net.SharedKey.Role;
import org.junit.jupiter.api.Test;

final class HandshakeTest {
    private static final ProcessId A = new ProcessId("a");
    private static final ProcessId B = new ProcessId("b");

    @Test
    void identifiesEachSideToTheOther() {
        Handshake opener = side("key", Role.OPENER, A, 1);
        Handshake acceptor = side("key", Role.ACCEPTOR, B, 2);
        Handshake.Step answer = step(acceptor.onFrame(opener.start().get(0)));
        assertThat(answer.peer(), is(Optional.empty()));
        Handshake.Step proof = step(opener.onFrame(answer.send().get(0)));
        assertThat(proof.peer(), is(Optional.of(B)));
        assertThat(step(acceptor.onFrame(proof.send().get(0))).peer(), is(Optional.of(A)));
    }

    @Test
    void openerRejectsAcceptorWithDifferentKey() {
        Handshake opener = side("key", Role.OPENER, A, 1);
        Handshake acceptor = side("other", Role.ACCEPTOR, B, 2);
        Handshake.Step answer = step(acceptor.onFrame(opener.start().get(0)));
        assertThat(opener.onFrame(answer.send().get(0)), is(Result.err(HandshakeError.KEY_DIFFERS)));
    }

    @Test
    void acceptorRejectsItsOwnProofReflectedByTheOpener() {
        Handshake acceptor = side("key", Role.ACCEPTOR, B, 2);
        Handshake.Step answer =
                step(acceptor.onFrame(side("unknown", Role.OPENER, A, 1).start().get(0)));
        byte[] reflected =
                HelloFrame.decode(answer.send().get(0)).value().orElseThrow().proof();
        assertThat(acceptor.onFrame(HelloFrame.encodeProof(reflected)), is(Result.err(HandshakeError.KEY_DIFFERS)));
    }

    @Test
    void detectsConnectionToItself() {
        Handshake acceptor = side("key", Role.ACCEPTOR, A, 1);
        assertThat(
                acceptor.onFrame(side("key", Role.OPENER, A, 1).start().get(0)), is(Result.err(HandshakeError.SELF)));
    }

    @Property(tries = 1_000, seed = "21")
    void rejectsRandomBytes(@ForAll @Size(max = 200) byte[] bytes) {
        assertThat(side("key", Role.ACCEPTOR, B, 1).onFrame(bytes).error().isPresent(), is(true));
        assertThat(side("key", Role.OPENER, B, 1).onFrame(bytes).error().isPresent(), is(true));
    }

    private static Handshake side(String key, Role role, ProcessId self, int level) {
        return new Handshake(new SharedKey(key), role, self, level, new byte[HelloFrame.CHALLENGE_BYTES]);
    }

    private static Handshake.Step step(Result<Handshake.Step, HandshakeError> result) {
        return result.value().orElseThrow();
    }
}
