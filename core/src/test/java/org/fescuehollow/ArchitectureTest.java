package org.fescuehollow;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.time.Instant;
import java.util.Random;
import java.util.concurrent.ThreadLocalRandom;
import org.junit.jupiter.api.Test;

class ArchitectureTest {
    /** The ready-made option knows the default folders of a build only. */
    private static final ImportOption NO_TESTS = l -> !l.contains("/test-classes/");

    private static final JavaClasses CLASSES =
            new ClassFileImporter().withImportOption(NO_TESTS).importPackages("org.fescuehollow");

    @Test
    void decisions_knowNoSocketsThreadsOrClocks() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("io.vertx..", "io.netty..", "java.net..", "java.nio.channels..")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .dependOnClassesThat()
                .belongToAnyOf(Thread.class, Instant.class, Random.class, ThreadLocalRandom.class)
                .check(CLASSES);
    }

    @Test
    void model_dependsOnNoOtherConcern() {
        noClasses()
                .that()
                .resideInAPackage("..model..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("..routing..", "..placement..", "..settings..")
                .check(CLASSES);
    }

    @Test
    void concerns_formNoCycles() {
        slices().matching("org.fescuehollow.(placement|routing|admission|settings|kernel|model)..")
                .should()
                .beFreeOfCycles()
                .check(CLASSES);
    }
}
