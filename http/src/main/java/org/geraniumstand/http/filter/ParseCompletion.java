package org.geraniumstand.http.filter;

import java.io.IOException;
import java.util.Optional;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.config.ServiceKind;
import org.geraniumstand.model.request.Refusal;
import org.geraniumstand.model.request.RefusalReason;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.platform.json.Json;

/** Parses the body of a completion request. */
@Decision(name = "parse-completion", summary = "A completion whose body is not valid JSON with messages is refused.")
public final class ParseCompletion implements Filter {
    @Override
    public Result<Admission, Refusal> apply(Admission admission) {
        boolean model =
                admission.service().map(s -> s.kind() == ServiceKind.MODEL).orElse(false);
        if (!model) {
            return Result.ok(admission);
        }
        return parse(admission)
                .<Result<Admission, Refusal>>map(c -> Result.ok(admission.withCompletion(c)))
                .orElseGet(() -> Result.err(Refusal.notRun(RefusalReason.BAD_REQUEST, 0)));
    }

    private static Optional<Completion> parse(Admission admission) {
        try {
            return Completion.read(Json.MAPPER.readTree(admission.request().body().stream()));
        } catch (IOException _e) {
            return Optional.empty();
        }
    }
}
