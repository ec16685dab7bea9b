package org.geraniumstand.peer.net;

import java.io.IOException;
import java.util.function.Function;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.peer.codec.FieldReader;
import org.geraniumstand.peer.codec.FieldWriter;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Represents the first handshake frame that each side sends.
 *
 * @param process id of the sending process
 * @param level protocol level of the sender
 * @param challenge random bytes that the other side must include in its proof
 * @param proof the sender's proof that it knows the shared key, or empty if the sender has not received a challenge yet
 */
@SuppressWarnings("DangerousRecordArrayField") // Hello frames are used once and never compared.
record HelloFrame(ProcessId process, int level, byte[] challenge, byte[] proof) {
    static final int CHALLENGE_BYTES = 16;
    private static final int PROOF_BYTES = 32;
    private static final String NAME = "geraniumstand";

    byte[] encode() {
        return new FieldWriter()
                .fields(5)
                .text(NAME)
                .text(process.value())
                .number(level)
                .bytes(challenge)
                .bytes(proof)
                .toBytes();
    }

    static Result<HelloFrame, HandshakeError> decode(byte[] bytes) {
        return decode(bytes, HelloFrame::read);
    }

    static byte[] encodeProof(byte[] proof) {
        return new FieldWriter().fields(1).bytes(proof).toBytes();
    }

    static Result<byte[], HandshakeError> decodeProof(byte[] bytes) {
        return decode(bytes, in -> in.bytes(PROOF_BYTES));
    }

    private static HelloFrame read(FieldReader in) {
        if (!in.text().equals(NAME)) {
            throw new IllegalArgumentException("hello names another protocol");
        }
        ProcessId process = new ProcessId(in.text());
        int level = in.smallNumber();
        byte[] challenge = in.bytes(CHALLENGE_BYTES);
        if (challenge.length != CHALLENGE_BYTES) {
            throw new IllegalArgumentException("challenge has the wrong length");
        }
        return new HelloFrame(process, level, challenge, in.bytes(PROOF_BYTES));
    }

    private static <T> Result<T, HandshakeError> decode(byte[] bytes, Function<FieldReader, T> record) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            return Result.ok(FieldReader.read(unpacker, record));
        } catch (IOException | RuntimeException _e) {
            return Result.err(HandshakeError.MALFORMED);
        }
    }
}
