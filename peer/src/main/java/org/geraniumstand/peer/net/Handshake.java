package org.geraniumstand.peer.net;

import java.util.List;
import java.util.Optional;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.peer.net.SharedKey.Role;

/**
 * Performs one side of a challenge-response handshake, in which both sides prove that they know the shared key.
 *
 * <p>The opener sends its challenge, the acceptor replies with its own challenge and its proof, and the opener verifies
 * that proof and sends its own.
 */
final class Handshake {
    private static final byte[] NO_PROOF = new byte[0];

    private final SharedKey key;
    private final Role role;
    private final HelloFrame ownHello;
    private Optional<HelloFrame> peerHello = Optional.empty();

    Handshake(SharedKey key, Role role, ProcessId self, int level, byte[] challenge) {
        this.key = key;
        this.role = role;
        this.ownHello = new HelloFrame(self, level, challenge, NO_PROOF);
    }

    /** Returns the frames to send before any frame is received. */
    List<byte[]> start() {
        return role == Role.OPENER ? List.of(ownHello.encode()) : List.of();
    }

    /** Processes a frame received from the other side. */
    Result<Step, HandshakeError> onFrame(byte[] frame) {
        if (peerHello.isPresent()) {
            return HelloFrame.decodeProof(frame).fold(this::verifyOpener, Result::err);
        }
        return HelloFrame.decode(frame).fold(this::onHello, Result::err);
    }

    private Result<Step, HandshakeError> onHello(HelloFrame hello) {
        if (hello.process().equals(ownHello.process())) {
            return Result.err(HandshakeError.SELF);
        }
        peerHello = Optional.of(hello);
        if (role == Role.ACCEPTOR) {
            byte[] proof = key.proof(Role.ACCEPTOR, hello, ownHello);
            HelloFrame reply = new HelloFrame(ownHello.process(), ownHello.level(), ownHello.challenge(), proof);
            return Result.ok(new Step(List.of(reply.encode()), Optional.empty()));
        }
        if (!key.matches(hello.proof(), key.proof(Role.ACCEPTOR, ownHello, hello))) {
            return Result.err(HandshakeError.KEY_DIFFERS);
        }
        byte[] proof = HelloFrame.encodeProof(key.proof(Role.OPENER, ownHello, hello));
        return Result.ok(new Step(List.of(proof), Optional.of(hello.process())));
    }

    private Result<Step, HandshakeError> verifyOpener(byte[] proof) {
        HelloFrame opener = peerHello.orElseThrow();
        if (role == Role.OPENER || !key.matches(proof, key.proof(Role.OPENER, opener, ownHello))) {
            return Result.err(HandshakeError.KEY_DIFFERS);
        }
        return Result.ok(new Step(List.of(), Optional.of(opener.process())));
    }

    /**
     * Describes the result of processing a frame.
     *
     * @param send frames to send to the other side
     * @param peer id of the other side, or empty if its proof is not verified yet
     */
    record Step(List<byte[]> send, Optional<ProcessId> peer) {}
}
