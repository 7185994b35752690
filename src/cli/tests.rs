use super::*;

#[test]
fn every_option_has_help_and_an_environment_variable() {
    let command = Cli::command();
    command.clone().debug_assert();
    for arg in command.get_arguments() {
        assert!(arg.get_help().is_some(), "{arg}");
        assert!(arg.get_env().is_some(), "{arg}");
    }
}
