package org.geraniumstand.entry.operator;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.geraniumstand.entry.operator.ConfigurationChanges.Accepted;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.platform.json.Json;
import org.junit.jupiter.api.Test;

final class StoreChangesTest {
    private final FakeStore store = new FakeStore();
    private final StoreChanges changes = new StoreChanges(store, "configuration");

    @Test
    void writesFirstDocumentAsGenerationOne() {
        assertThat(accepted(ConfigurationEdits.replace(Documents.at(0))).configuration(), is(Documents.at(1)));
        assertThat(stored(), is(Documents.at(1)));
    }

    @Test
    void appliesEditAgainWhenOperatorsRace() {
        store.put(Json.write(Documents.at(4)));
        store.beforeNextWrite(() -> store.put(Json.write(Documents.at(5).withDataCentresOut(Set.of(Documents.WEST)))));

        Configuration configuration =
                accepted(ConfigurationEdits.switchPreset(Documents.PEAK)).configuration();

        assertThat(configuration.generation(), is(6L));
        assertThat(configuration.presetInForce(), is(Documents.PEAK));
        assertThat(configuration.dataCentresOut(), contains(Documents.WEST));
    }

    @Test
    void refusesDocumentThatOperatorsOvertook() {
        store.put(Json.write(Documents.at(5)));

        assertThat(
                error(ConfigurationEdits.replace(Documents.at(4).withPreset(Documents.PEAK))),
                is(ChangeError.Kind.CONFLICT));
    }

    @Test
    void settlesLostAnswerByReadingBack() {
        store.put(Json.write(Documents.at(4)));
        store.loseAnswers();

        assertThat(
                accepted(ConfigurationEdits.switchPreset(Documents.PEAK))
                        .configuration()
                        .generation(),
                is(5L));
    }

    @Test
    void saysThatOutcomeIsOpenWhenTheWriteIsNotFound() {
        store.put(Json.write(Documents.at(4)));
        store.dropWrites();

        assertThat(error(ConfigurationEdits.switchPreset(Documents.PEAK)), is(ChangeError.Kind.UNSETTLED));
    }

    @Test
    void saysThatNothingChangedWhenTheStoreIsOut() {
        store.takeDown();

        assertThat(error(ConfigurationEdits.switchPreset(Documents.PEAK)), is(ChangeError.Kind.STORE_UNAVAILABLE));
    }

    @Test
    void writesNothingWhenTheDocumentIsAsWanted() {
        store.put(Json.write(Documents.at(4)));

        Accepted accepted = accepted(ConfigurationEdits.switchPreset(Documents.ORDINARY));

        assertThat(accepted.changed(), is(false));
        assertThat(stored().generation(), is(4L));
    }

    private Configuration stored() {
        return Json.read(store.text(), Configuration.class).value().orElseThrow();
    }

    private Accepted accepted(ConfigurationEdit edit) {
        return change(edit).value().orElseThrow();
    }

    private ChangeError.Kind error(ConfigurationEdit edit) {
        return change(edit).error().orElseThrow().kind();
    }

    private Result<Accepted, ChangeError> change(ConfigurationEdit edit) {
        List<Result<Accepted, ChangeError>> results = new ArrayList<>();
        changes.change(edit, results::add);
        assertThat(results.size(), is(1));
        return results.get(0);
    }
}
