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
    /** ArchUnit's own option recognizes only the default output folders of build tools. */
    private static final ImportOption EXCLUDE_TEST_CLASSES = l -> !l.contains("/test-classes/");

    private static final JavaClasses PRODUCTION_CLASSES =
            new ClassFileImporter()
                    .withImportOption(EXCLUDE_TEST_CLASSES)
                    .importPackages("org.fescuehollow");

    @Test
    void core_usesNoSocketsThreadsOrClocks() {
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
                .check(PRODUCTION_CLASSES);
    }

    @Test
    void model_dependsOnNoOtherPackage() {
        noClasses()
                .that()
                .resideInAPackage("..model..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("..routing..", "..placement..", "..settings..")
                .check(PRODUCTION_CLASSES);
    }

    @Test
    void packages_formNoCycles() {
        slices().matching("org.fescuehollow.(placement|routing|admission|settings|kernel|model)..")
                .should()
                .beFreeOfCycles()
                .check(PRODUCTION_CLASSES);
    }
}
