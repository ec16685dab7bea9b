package org.geraniumstand.peer.net;

import java.util.List;
import java.util.Optional;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.peer.net.SharedKey.Role;

/**
 * One side of a hello, in which both sides prove that they know the shared key.
 *
 * <p>The opener sends its challenge; the acceptor answers with its own challenge and its proof; the opener checks it
 * and sends its proof.
 */
final class Handshake {
    private static final byte[] NO_PROOF = new byte[0];

    private final SharedKey key;
    private final Role role;
    private final HelloFrame own;
    private Optional<HelloFrame> other = Optional.empty();

    Handshake(SharedKey key, Role role, ProcessId self, int level, byte[] challenge) {
        this.key = key;
        this.role = role;
        this.own = new HelloFrame(self, level, challenge, NO_PROOF);
    }

    /** Returns the frames to be sent before any is received. */
    List<byte[]> start() {
        return role == Role.OPENER ? List.of(own.encode()) : List.of();
    }

    /** Takes in a frame of the other side. */
    Result<Step, HelloError> onFrame(byte[] frame) {
        if (other.isPresent()) {
            return HelloFrame.decodeProof(frame).fold(this::checkOpener, Result::err);
        }
        return HelloFrame.decode(frame).fold(this::onHello, Result::err);
    }

    private Result<Step, HelloError> onHello(HelloFrame hello) {
        if (hello.process().equals(own.process())) {
            return Result.err(HelloError.SELF);
        }
        other = Optional.of(hello);
        if (role == Role.ACCEPTOR) {
            byte[] proof = key.proof(Role.ACCEPTOR, hello, own);
            HelloFrame answer = new HelloFrame(own.process(), own.level(), own.challenge(), proof);
            return Result.ok(new Step(List.of(answer.encode()), Optional.empty()));
        }
        if (!key.matches(hello.proof(), key.proof(Role.ACCEPTOR, own, hello))) {
            return Result.err(HelloError.KEY_DIFFERS);
        }
        byte[] proof = HelloFrame.encodeProof(key.proof(Role.OPENER, own, hello));
        return Result.ok(new Step(List.of(proof), Optional.of(hello.process())));
    }

    private Result<Step, HelloError> checkOpener(byte[] proof) {
        HelloFrame opener = other.orElseThrow();
        if (role == Role.OPENER || !key.matches(proof, key.proof(Role.OPENER, opener, own))) {
            return Result.err(HelloError.KEY_DIFFERS);
        }
        return Result.ok(new Step(List.of(), Optional.of(opener.process())));
    }

    /**
     * What follows from a frame.
     *
     * @param send frames to be sent
     * @param peer the other side, once its proof was checked
     */
    record Step(List<byte[]> send, Optional<ProcessId> peer) {}
}
