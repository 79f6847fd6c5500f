# Completion of vhctl for bash.
_vhctl()
{
	local word=${COMP_WORDS[COMP_CWORD]}
	local before=${COMP_WORDS[COMP_CWORD - 1]}
	local commands="check diff publish get list history rollback key status
		nodes workers jobs explain top report drain help"
	local common="--server --nodes --token-file --output --timeout --help"
	local kinds="fleet share limit team key queue service"
	local command= options= i

	COMPREPLY=()
	for ((i = 1; i < COMP_CWORD; i++)); do
		case " $(echo $commands) " in
		*" ${COMP_WORDS[i]} "*)
			command=${COMP_WORDS[i]}
			break
			;;
		esac
	done
	case $before in
	--output)
		COMPREPLY=($(compgen -W "text json" -- "$word"))
		return
		;;
	--token-file | --out)
		COMPREPLY=($(compgen -f -- "$word"))
		return
		;;
	--server | --nodes | --timeout | --base | --name | --limit | \
		--interval | --count)
		return
		;;
	esac
	case $command in
	publish | rollback) options="--base --wait" ;;
	key) options="--name --wait" ;;
	history) options="--limit" ;;
	report) options="--out" ;;
	top) options="--interval --count" ;;
	esac
	if [[ $word == -* ]]; then
		COMPREPLY=($(compgen -W "$common $options" -- "$word"))
		return
	fi
	case $command in
	"" | help) COMPREPLY=($(compgen -W "$commands" -- "$word")) ;;
	check | diff | publish) COMPREPLY=($(compgen -f -- "$word")) ;;
	get | list) COMPREPLY=($(compgen -W "$kinds" -- "$word")) ;;
	key) COMPREPLY=($(compgen -W "grant withdraw" -- "$word")) ;;
	esac
}
complete -F _vhctl vhctl
