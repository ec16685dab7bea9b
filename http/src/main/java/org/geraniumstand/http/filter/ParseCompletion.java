package org.geraniumstand.http.filter;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.config.ServiceKind;
import org.geraniumstand.model.result.Result;

/** Parses the body of a completion request. */
@Decision(
        name = "parse-completion",
        summary = "Rejects completion requests whose body is not valid JSON with messages.")
public final class ParseCompletion implements Filter {
    /** Maximum nesting depth of the JSON body. */
    public static final int MAX_DEPTH = 64;

    private static final JsonMapper MAPPER = JsonMapper.builder(JsonFactory.builder()
                    .streamReadConstraints(StreamReadConstraints.builder()
                            .maxNestingDepth(MAX_DEPTH)
                            .build())
                    .build())
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .enable(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY)
            .build();

    @Override
    public Result<Admission, Rejection> apply(Admission admission) {
        boolean model =
                admission.service().map(s -> s.kind() == ServiceKind.MODEL).orElse(false);
        boolean hasBody = admission.request().body().size() > 0
                || admission.request().method().equals("POST");
        if (!model || !hasBody) {
            return Result.ok(admission);
        }
        try {
            return Completion.read(MAPPER.readTree(admission.request().body().stream()))
                    .map(admission::withCompletion)
                    .mapError(Rejection::malformed);
        } catch (JsonProcessingException _e) {
            return Result.err(Rejection.malformed("the body is not valid JSON or is nested too deeply"));
        } catch (IOException _e) {
            return Result.err(Rejection.malformed("the body cannot be read"));
        }
    }
}
